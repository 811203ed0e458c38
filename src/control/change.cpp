#include "endivedock/control/change.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include <boost/json/serialize.hpp>

namespace endivedock {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw ChangeError(path + ": the file cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Declaration parseDeclaration(const std::string &path, const boost::json::value &value)
{
    const JsonNode node(value, path);
    const std::string text = boost::json::serialize(value);
    if (node.has("template"))
        return {templateKey(parseTemplate(node).id), text, path};
    if (node.has("tenant"))
        return {teamParametersKey(parseTeamParameters(node).team), text, path};
    node.fail("a template (with a field template) or parameters (with a field tenant)");
}

} // namespace

Declaration readDeclaration(const std::string &path)
{
    try {
        return parseDeclaration(path, parseJson(readFile(path), path));
    } catch (const JsonError &error) {
        throw ChangeError(error.what());
    }
}

std::vector<Declaration> readDeclarations(const std::string &folder)
{
    if (!std::filesystem::is_directory(folder))
        throw ChangeError(folder + ": not a folder");
    std::vector<std::string> paths;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".json")
            paths.push_back(entry.path().string());
    }
    std::sort(paths.begin(), paths.end());
    std::vector<Declaration> result;
    std::map<std::string, std::string> origins;
    for (const auto &path : paths) {
        result.push_back(readDeclaration(path));
        const auto [other, isNew] = origins.emplace(result.back().key, path);
        if (!isNew)
            throw ChangeError(path + ": declares the same key as " + other->second);
    }
    if (result.empty())
        throw ChangeError(folder + ": the folder contains no .json file");
    return result;
}

std::vector<KeyChange> diffDeclarations(const StoreSnapshot &present,
                                        const std::vector<Declaration> &desired)
{
    std::vector<KeyChange> changes;
    for (const auto &declaration : desired) {
        const auto entry = std::find_if(
                present.entries.begin(), present.entries.end(),
                [&](const StoreEntry &candidate) { return candidate.key == declaration.key; });
        if (entry == present.entries.end()) {
            changes.push_back({declaration.key, std::nullopt, declaration.value});
            continue;
        }
        if (parseJson(entry->value, entry->key) != parseJson(declaration.value, declaration.key))
            changes.push_back({declaration.key, entry->value, declaration.value});
    }
    return changes;
}

void validateChange(const StoreSnapshot &present, const std::vector<Declaration> &desired)
{
    std::map<std::string, std::string> values;
    for (const auto &entry : present.entries)
        values[entry.key] = entry.value;
    for (const auto &declaration : desired)
        values[declaration.key] = declaration.value;
    ConfigurationSnapshot configuration{present.revision, {}};
    for (const auto &[key, value] : values)
        configuration.entries.push_back({key, value});
    try {
        parseDeclarations(configuration);
    } catch (const JsonError &error) {
        throw ChangeError(error.what());
    } catch (const ConfigurationError &error) {
        throw ChangeError(error.what());
    }
}

std::string formatChanges(const std::vector<KeyChange> &changes)
{
    std::string text;
    for (const auto &change : changes) {
        text += (change.before ? "~ " : "+ ") + change.key + "\n";
        if (change.before)
            text += "  - " + *change.before + "\n";
        text += "  + " + change.after + "\n";
    }
    return text;
}

} // namespace endivedock
