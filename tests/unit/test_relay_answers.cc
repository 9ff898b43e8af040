#include "relay_cluster.h"

#include <cstring>
#include <gtest/gtest.h>

// Guards against a second copy of an answer, sent late on a connection that is
// in use again, for a request that has no id of its own to tell it by.
TEST (RelayAnswers, LateCopyOfAnAnswerReachesNoOtherCaller)
{
  relay_cluster cluster (2);
  std::string copy;

  cluster.list_upstream (1, 1);
  cluster.set_routes ();
  cluster.nodes[1]->upstream.answer
      = [&] (raw_upstream &, raw_conn &conn, const std::string &request) {
          std::string answer
              = field_of (request, "Req-Id").empty ()
                    ? "HTTP/1.1 400 No id\r\nNot-Run: 1\r\nContent-Length: 0"
                      "\r\n\r\n"
                    : answer_text (request, "first");

          raw_upstream::write (conn, copy + answer);
          copy = answer;
        };
  for (const char *id : { "r1", "r2", "" })
    {
      std::string request = request_text ("GET", "/safe/a", id);
      size_t at = request.find ("Req-Id: \r\n");

      if (at != std::string::npos)
        request.erase (at, strlen ("Req-Id: \r\n"));
      std::string answer = cluster.send_request (request);

      EXPECT_EQ (field_of (answer, "Req-Id"), id) << answer;
      EXPECT_EQ (answer.substr (9, 3), id[0] == 0 ? "503" : "200");
    }
}
