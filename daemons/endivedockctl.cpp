#include "endivedock/control.h"

#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>

namespace {

using namespace endivedock;

// Exit codes; see docs/OPERATORS.md.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitInvalid = 2;
constexpr int exitConflict = 3;
constexpr int exitUnavailable = 4;
constexpr int exitNotInForce = 5;

constexpr Milliseconds storeTimeout{3000};
constexpr Milliseconds pollInterval{100};

struct Arguments
{
    std::vector<std::string> store{"127.0.0.1:2379"};
    std::vector<std::string> admins;
    std::string operatorName;
    std::string command;
    std::string firstPositional;
    std::string secondPositional;
    std::vector<std::string> files;
    std::string from;
    std::string to;
    int deadlineSeconds = 0;
    int waitSeconds = 0;
    std::int64_t revision = 0;
    bool isDryRun = false;
};

/** Runs one command of the command line on the store and the entry hosts. */
class Command
{
public:
    Command(asio::io_context &context, const Arguments &arguments)
        : m_executor(context.get_executor())
        , m_arguments(arguments)
        , m_store(m_executor, parseAddresses(arguments.store), storeTimeout)
        , m_operator(m_store, {arguments.operatorName, arguments.command})
    {
    }

    Task<int> put()
    {
        std::vector<Declaration> desired{readDeclaration(m_arguments.firstPositional)};
        co_return co_await applyDeclarations(std::move(desired));
    }

    Task<int> applyFolder()
    {
        co_return co_await applyDeclarations(readDeclarations(m_arguments.firstPositional));
    }

    Task<int> check()
    {
        for (const auto &file : m_arguments.files) {
            readDeclaration(file);
            std::cout << file << ": valid\n";
        }
        co_return exitSuccess;
    }

    Task<int> get(std::string key)
    {
        const auto entry = co_await m_store.get(key);
        if (!entry)
            throw ChangeError(key + " is not declared");
        std::cout << entry->value << "\n";
        co_return exitSuccess;
    }

    Task<int> listTemplates()
    {
        const StoreSnapshot snapshot = co_await m_operator.fetchDeclarations();
        for (const auto &entry : snapshot.entries) {
            const auto key = parseDeclarationKey(entry.key);
            if (key && key->kind == DeclarationKind::Template)
                std::cout << key->owner << "\n";
        }
        co_return exitSuccess;
    }

    Task<int> setZoneState(bool isEvacuated)
    {
        const std::string key =
                zoneKey(TeamId(m_arguments.firstPositional), ZoneId(m_arguments.secondPositional));
        std::vector<Declaration> desired{{key, formatZoneState(isEvacuated), m_arguments.command}};
        co_return co_await applyDeclarations(std::move(desired));
    }

    Task<int> startRollout()
    {
        std::optional<Milliseconds> deadline;
        if (m_arguments.deadlineSeconds > 0)
            deadline = Seconds(m_arguments.deadlineSeconds);
        const Revision revision = co_await m_operator.startRollout(
                ServiceId(m_arguments.firstPositional), VersionId(m_arguments.from),
                VersionId(m_arguments.to), deadline);
        co_return co_await reportAcceptedRevision(revision);
    }

    Task<int> rollBack()
    {
        const Revision revision =
                co_await m_operator.rollBack(ServiceId(m_arguments.firstPositional));
        co_return co_await reportAcceptedRevision(revision);
    }

    Task<int> addCallerKey()
    {
        const std::string key = drawKey();
        const Revision revision =
                co_await m_operator.addCallerKey(TeamId(m_arguments.firstPositional), key);
        // Only the digest is stored, so the key is shown once.
        std::cout << "key " << key << "\ndigest " << digestOf(key) << "\n";
        co_return co_await reportAcceptedRevision(revision);
    }

    Task<int> withdrawCallerKey()
    {
        const Revision revision = co_await m_operator.withdrawCallerKey(
                TeamId(m_arguments.firstPositional), m_arguments.secondPositional);
        co_return co_await reportAcceptedRevision(revision);
    }

    Task<int> printRolloutStatus()
    {
        const std::string key = rolloutKey(ServiceId(m_arguments.firstPositional));
        const auto entry = co_await m_store.get(key);
        if (!entry)
            throw ChangeError("no move is declared for service " + m_arguments.firstPositional);
        std::cout << entry->value << "\n";
        for (const auto &admin : m_arguments.admins) {
            HttpClient client(m_executor, parseAddress(admin));
            try {
                const HttpClientResponse reply =
                        co_await client.request("GET", "/moves", "", Milliseconds(2000));
                std::cout << admin << " " << reply.body;
            } catch (const HttpError &error) {
                std::cout << admin << " did not answer\n";
            }
        }
        co_return exitSuccess;
    }

    Task<int> status()
    {
        Revision revision(m_arguments.revision);
        if (revision == Revision(0))
            revision = newestRevision(co_await m_operator.fetchDeclarations());
        co_return co_await waitUntilInForce(revision);
    }

private:
    static std::vector<Address> parseAddresses(const std::vector<std::string> &texts)
    {
        std::vector<Address> result;
        for (const auto &text : texts)
            result.push_back(parseAddress(text));
        return result;
    }

    static Revision newestRevision(const StoreSnapshot &snapshot)
    {
        Revision newest(0);
        for (const auto &entry : snapshot.entries)
            newest = std::max(newest, entry.modRevision);
        return newest;
    }

    Task<int> applyDeclarations(std::vector<Declaration> desired)
    {
        const StoreSnapshot current = co_await m_operator.fetchDeclarations();
        validateChange(current, desired);
        const auto changes = diffDeclarations(current, desired);
        std::cout << formatChanges(changes);
        if (changes.empty())
            std::cout << "nothing to change\n";
        if (m_arguments.isDryRun || changes.empty())
            co_return exitSuccess;
        const Revision revision = co_await m_operator.apply(current, std::move(desired));
        co_return co_await reportAcceptedRevision(revision);
    }

    Task<int> reportAcceptedRevision(Revision revision)
    {
        std::cout << "accepted at revision " << revision << "\n";
        if (m_arguments.waitSeconds == 0)
            co_return exitSuccess;
        co_return co_await waitUntilInForce(revision);
    }

    /** Asks the entry hosts one after another until one answers. @throws HttpError if none does */
    Task<std::vector<FleetMember>> readFleetFromAnyHost()
    {
        std::string lastError = "no --admin address was given";
        for (const auto &admin : m_arguments.admins) {
            try {
                co_return co_await readFleet(m_executor, parseAddress(admin));
            } catch (const HttpError &error) {
                lastError = error.what();
            }
        }
        throw HttpError("no entry host answered: " + lastError);
    }

    Task<int> waitUntilInForce(Revision revision)
    {
        const TimePoint deadline = SteadyClock().now() + Seconds(m_arguments.waitSeconds);
        while (true) {
            const auto members = co_await readFleetFromAnyHost();
            const PropagationStatus propagation = checkPropagation(members, revision);
            const bool isLastPoll = SteadyClock().now() >= deadline;
            if (propagation.isComplete() || isLastPoll) {
                printFleet(members, propagation, revision);
                co_return propagation.isComplete() ? exitSuccess : exitNotInForce;
            }
            co_await sleepFor(pollInterval);
        }
    }

    static void printFleet(const std::vector<FleetMember> &members,
                           const PropagationStatus &propagation, Revision revision)
    {
        for (const auto &member : members)
            std::cout << "host " << member.host << " zone " << member.zone << " " << member.state
                      << " revision " << member.revision << " heard " << member.age.count()
                      << " ms ago\n";
        std::cout << "revision " << revision << " is in force on " << propagation.upToDateHostCount
                  << " of " << propagation.hostCount << " hosts\n";
    }

    asio::any_io_executor m_executor;
    const Arguments &m_arguments;
    EtcdStore m_store;
    OperatorStore m_operator;
};

using Action = std::function<Task<int>(Command &)>;

int run(const Arguments &arguments, const Action &action)
{
    asio::io_context context(1);
    Command command(context, arguments);
    int code = exitFailure;
    std::exception_ptr failure;
    asio::co_spawn(context, action(command), [&](std::exception_ptr error, int result) {
        failure = error;
        code = result;
    });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return code;
}

int runAndReportErrors(const Arguments &arguments, const Action &action)
{
    const auto printError = [](const std::exception &error, int code) {
        std::cerr << "endivedockctl: " << error.what() << "\n";
        return code;
    };
    try {
        return run(arguments, action);
    } catch (const ConflictError &error) {
        return printError(error, exitConflict);
    } catch (const StoreUnavailable &error) {
        return printError(error, exitUnavailable);
    } catch (const HttpError &error) {
        return printError(error, exitUnavailable);
    } catch (const ChangeError &error) {
        return printError(error, exitInvalid);
    } catch (const JsonError &error) {
        return printError(error, exitInvalid);
    } catch (const AddressError &error) {
        return printError(error, exitInvalid);
    } catch (const std::exception &error) {
        return printError(error, exitFailure);
    }
}

/** Declares the commands and their arguments; the parsed command becomes the action. */
class CommandLine
{
public:
    CommandLine()
    {
        m_app.require_subcommand(1);
        m_app.add_option("--store", m_arguments.store,
                         "Addresses of the platform's store, each an IP address with a port");
        m_app.add_option("--admin", m_arguments.admins,
                         "Admin addresses of entry hosts, each an IP address with a port");
        m_app.add_option("--as", m_arguments.operatorName,
                         "Name of the operator, shown to others in a conflict");
        m_app.add_option("--wait", m_arguments.waitSeconds,
                         "Seconds to wait until the change is in force on all hosts");
        m_app.add_flag("--dry-run", m_arguments.isDryRun,
                       "Print the difference without writing it");
        addTemplates();
        addParameters();
        addZones();
        addRollouts();
        addCallerKeys();
        addFiles();
        auto *status = addCommand(m_app, "status", "Print whether the newest change is in force",
                                  [](Command &command) { return command.status(); });
        status->add_option("--revision", m_arguments.revision,
                           "Revision to check instead of the newest one");
    }

    int parseAndRun(int argc, char **argv)
    {
        const char *user = std::getenv("USER");
        m_arguments.operatorName = user == nullptr ? "unknown" : user;
        for (int i = 1; i < argc; ++i)
            m_arguments.command += (i > 1 ? " " : "") + std::string(argv[i]);
        try {
            m_app.parse(argc, argv);
        } catch (const CLI::ParseError &error) {
            return m_app.exit(error) == 0 ? exitSuccess : exitInvalid;
        }
        return runAndReportErrors(m_arguments, m_action);
    }

private:
    CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &help,
                         Action action)
    {
        CLI::App *command = parent.add_subcommand(name, help);
        command->fallthrough();
        command->callback([this, action] { m_action = action; });
        return command;
    }

    CLI::App *addGroup(const std::string &name, const std::string &help)
    {
        CLI::App *result = m_app.add_subcommand(name, help);
        result->fallthrough();
        result->require_subcommand(1);
        return result;
    }

    void addTemplates()
    {
        CLI::App *templates = addGroup("template", "Templates for kinds of services");
        addCommand(*templates, "put", "Write a template",
                   [](Command &command) { return command.put(); })
                ->add_option("file", m_arguments.firstPositional)
                ->required();
        addCommand(*templates, "get", "Print a template",
                   [this](Command &command) {
                       return command.get(templateKey(TemplateId(m_arguments.firstPositional)));
                   })
                ->add_option("name", m_arguments.firstPositional)
                ->required();
        addCommand(*templates, "list", "Print the names of all templates",
                   [](Command &command) { return command.listTemplates(); });
    }

    void addParameters()
    {
        CLI::App *parameters = addGroup("parameters", "Parameters of tenants");
        addCommand(*parameters, "set", "Write a tenant's parameters",
                   [](Command &command) { return command.put(); })
                ->add_option("file", m_arguments.firstPositional)
                ->required();
        addCommand(*parameters, "get", "Print a tenant's parameters",
                   [this](Command &command) {
                       return command.get(teamParametersKey(TeamId(m_arguments.firstPositional)));
                   })
                ->add_option("tenant", m_arguments.firstPositional)
                ->required();
    }

    void addZones()
    {
        CLI::App *zones = addGroup("zone", "Availability zones of a tenant");
        for (const bool isEvacuated : {true, false}) {
            CLI::App *command = addCommand(
                    *zones, isEvacuated ? "out" : "in",
                    isEvacuated ? "Send no new requests to the zone"
                                : "Send requests to the zone again",
                    [isEvacuated](Command &command) { return command.setZoneState(isEvacuated); });
            command->add_option("tenant", m_arguments.firstPositional)->required();
            command->add_option("zone", m_arguments.secondPositional)->required();
        }
    }

    void addRollouts()
    {
        CLI::App *rollouts = addGroup("move", "Moves of a service from one version to another");
        CLI::App *start = addCommand(*rollouts, "start", "Start a move",
                                     [](Command &command) { return command.startRollout(); });
        start->add_option("service", m_arguments.firstPositional, "tenant/service")->required();
        start->add_option("--from", m_arguments.from)->required();
        start->add_option("--to", m_arguments.to)->required();
        start->add_option("--deadline-seconds", m_arguments.deadlineSeconds);
        addCommand(*rollouts, "status", "Print the state of a move",
                   [](Command &command) { return command.printRolloutStatus(); })
                ->add_option("service", m_arguments.firstPositional)
                ->required();
        addCommand(*rollouts, "take-back", "Take a move back to the old version",
                   [](Command &command) { return command.rollBack(); })
                ->add_option("service", m_arguments.firstPositional)
                ->required();
    }

    void addCallerKeys()
    {
        CLI::App *keys = addGroup("key", "Keys of a tenant's callers");
        addCommand(*keys, "add", "Draw a key, store its digest and print the key once",
                   [](Command &command) { return command.addCallerKey(); })
                ->add_option("tenant", m_arguments.firstPositional)
                ->required();
        CLI::App *withdraw = addCommand(
                *keys, "withdraw", "Withdraw a key, named by the first characters of its digest",
                [](Command &command) { return command.withdrawCallerKey(); });
        withdraw->add_option("tenant", m_arguments.firstPositional)->required();
        withdraw->add_option("digest", m_arguments.secondPositional)->required();
        addCommand(*keys, "list", "Print the digests of a tenant's keys",
                   [this](Command &command) {
                       return command.get(callerKeysKey(TeamId(m_arguments.firstPositional)));
                   })
                ->add_option("tenant", m_arguments.firstPositional)
                ->required();
    }

    void addFiles()
    {
        addCommand(m_app, "check", "Validate files without applying them",
                   [](Command &command) { return command.check(); })
                ->add_option("files", m_arguments.files)
                ->required();
        addCommand(m_app, "apply", "Apply all files of a folder",
                   [](Command &command) { return command.applyFolder(); })
                ->add_option("folder", m_arguments.firstPositional)
                ->required();
    }

    CLI::App m_app{"endivedockctl: the operators' command line of the endivedock load balancer"};
    Arguments m_arguments;
    Action m_action;
};

} // namespace

int main(int argc, char **argv)
{
    return CommandLine().parseAndRun(argc, argv);
}
