#include "endivedock/net.h"

#include "../scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::ConnectionEnd;
using endivedock::testing::runTask;
using endivedock::testing::ScriptedResponse;
using endivedock::testing::ScriptedServer;

namespace {

constexpr Milliseconds requestTimeout{5000};

/** What a client returned for each of its requests; "error" for one that failed. */
using Results = std::vector<std::string>;

Task<> requestAll(asio::any_io_executor executor, Address server, std::size_t count,
                  Results &results)
{
    HttpClient client(executor, server);
    while (results.size() < count) {
        std::string result = "error";
        try {
            const HttpClientResponse response =
                    co_await client.request("GET", "/", "", requestTimeout);
            result = std::to_string(response.status) + " " + response.body;
        } catch (const HttpError &) {
        }
        results.push_back(result);
        co_await sleepFor(Milliseconds(50)); // The connection is idle.
    }
}

/** Sends as many requests as there are @p responses. */
Results exchange(std::vector<ScriptedResponse> responses)
{
    asio::io_context context;
    const std::size_t count = responses.size();
    ScriptedServer server(context, std::move(responses));
    Results results;
    runTask(context, requestAll(context.get_executor(), server.address(), count, results));
    return results;
}

/** @return the lines that a client passed on, then "error" if the stream failed */
Results streamLines(ScriptedResponse response)
{
    asio::io_context context;
    ScriptedServer server(context, {std::move(response)});
    Results lines;
    runTask(context,
            [](asio::any_io_executor executor, Address address, Results &result) -> Task<> {
                HttpClient client(executor, address);
                try {
                    co_await client.streamLines("/", "", requestTimeout,
                                                [&result](std::string_view line) {
                                                    result.emplace_back(line);
                                                    return line != "last";
                                                });
                } catch (const HttpError &) {
                    result.emplace_back("error");
                }
            }(context.get_executor(), server.address(), lines));
    return lines;
}

std::string withBody(const std::string &head, const std::string &body)
{
    return "HTTP/1.1 " + head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string joined(const Results &results)
{
    std::string text;
    for (const auto &result : results)
        text += result + "|";
    return text;
}

void checkResults(const std::string &expected, const Results &results)
{
    CPPUNIT_ASSERT_EQUAL(expected, joined(results));
}

} // namespace

/** What the clients of the store, the directory and the admin ports accept as a response. */
class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(interimResponsesAreSkipped);
    CPPUNIT_TEST(surplusResponseAnswersNoLaterRequest);
    CPPUNIT_TEST(brokenResponsesAreErrors);
    CPPUNIT_TEST(soundResponsesAreAccepted);
    CPPUNIT_TEST(linesOfErrorResponsesAreNotPassedOn);
    CPPUNIT_TEST(streamedLinesArePassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /** An interim response was returned as the answer, and the answer to the next request. */
    void interimResponsesAreSkipped()
    {
        checkResults("200 one|200 two|",
                     exchange({{{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                                 "Link: </x>\r\n\r\n" +
                                 withBody("200 OK", "one")}},
                               {{withBody("200 OK", "two")}}}));
    }

    /** A second copy of an answer was returned for the next request. */
    void surplusResponseAnswersNoLaterRequest()
    {
        const std::string one = withBody("200 OK", "one");
        const ScriptedResponse two{{withBody("200 OK", "two")}};
        checkResults("200 one|200 two|", exchange({{{one + one}}, two}));
        checkResults("200 one|200 two|", exchange({{{one, one}}, two}));
    }

    void brokenResponsesAreErrors()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::vector<ScriptedResponse> responses{
                {{withBody("000 X", "x")}},
                {{withBody("099 X", "x")}},
                {{withBody("101 X", "x")}},
                {{withBody("600 X", "x")}},
                {{withBody("200 OK\r\nBad Name: x", "x")}},
                {{withBody("200 OK\r\nName : x", "x")}},
                {{withBody("200 OK\r\nNa\x01me: x", "x")}},
                {{withBody("200 OK\r\nName: x\r\n Folded: x", "x")}},
                {{ok + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"}},
                {{"HTTP/1.1 103 X\r\nBad Name: x\r\n\r\n" + withBody("200 OK", "x")}},
                {{"HTTP/1.1 103 X\r\nName: x\r\n Folded: x\r\n\r\n" + withBody("200 OK", "x")}},
                {{ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nBad Name: x\r\n\r\n"}},
                {{ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nName: x\r\n"},
                 ConnectionEnd::CloseSending},
                {{ok + "Content-Length: 4\r\n\r\n", "x"}, ConnectionEnd::CloseSending},
                {{ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"},
                 ConnectionEnd::CloseSending},
                {{ok + "\r\n", "x"}, ConnectionEnd::Reset},
                {{ok + "Content-Length: 99999999999\r\n\r\n", "x"}}};
        for (const auto &response : responses)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response.pieces.front(), std::string("error|"),
                                         joined(exchange({response})));
    }

    void soundResponsesAreAccepted()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string large(300'000, 'x');
        checkResults(
                "200 body|204 |200 body|200 body|200 |404 gone|",
                exchange({{{ok +
                            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nName: x\r\n\r\n"}},
                          {{"HTTP/1.1 204 No Content\r\n\r\n"}},
                          {{ok + "\r\n", "bo", "dy"}, ConnectionEnd::CloseSending},
                          {{"HTTP/1.0 200 OK\r\n\r\nbody"}, ConnectionEnd::CloseSending},
                          {{withBody("200 OK", "")}},
                          {{withBody("404 Not Found", "gone")}}}));
        checkResults("200 " + large + "|200 " + large + "|",
                     exchange({{{withBody("200 OK", large)}},
                               {{ok + "\r\n" + large}, ConnectionEnd::CloseSending}}));
    }

    void linesOfErrorResponsesAreNotPassedOn()
    {
        checkResults("error|", streamLines({{withBody("500 X", "one\nlast\n")}}));
        checkResults("error|", streamLines({{withBody("000 X", "one\nlast\n")}}));
    }

    void streamedLinesArePassedOn()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        checkResults("one|two|last|", streamLines({{ok + "\r\n", "one\n\ntw", "o\nlast\n"}}));
        checkResults("one|last|",
                     streamLines({{ok + "Transfer-Encoding: chunked\r\n\r\n4\r\none\n\r\n",
                                   "5\r\nlast\n\r\n"}}));
        checkResults("one|error|", streamLines({{withBody("200 OK", "one\n")}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
