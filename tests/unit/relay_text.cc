#include "relay_cluster.h"

// Texts of HTTP messages that the relay tests send and read.

std::string
field_of (const std::string &message, const std::string &name)
{
  size_t at = message.find ("\r\n" + name + ": ");

  if (at == std::string::npos)
    return "";
  at += name.size () + 4;
  return message.substr (at, message.find ("\r\n", at) - at);
}

std::string
status_of (const std::string &answer)
{
  return answer.size () > 12 ? answer.substr (9, 3) : answer;
}

std::string
body_of (const std::string &answer)
{
  size_t at = answer.find ("\r\n\r\n");

  return at == std::string::npos ? "" : answer.substr (at + 4);
}

std::string
request_text (const std::string &method,
              const std::string &target,
              const std::string &id,
              const std::string &lines,
              const std::string &body)
{
  std::string length
      = body.empty ()
            ? ""
            : "Content-Length: " + std::to_string (body.size ()) + "\r\n";

  return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: "
         + id + "\r\nLeft-Ms: 5000\r\n" + lines + length + "\r\n" + body;
}

std::string
answer_text (const std::string &request,
             const std::string &body,
             const std::string &status,
             const std::string &lines)
{
  return "HTTP/1.1 " + status + "\r\nReq-Id: " + field_of (request, "Req-Id")
         + "\r\nProof: p\r\n" + lines + "Content-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

size_t
request_bytes (const std::string &in)
{
  size_t head = in.find ("\r\n\r\n");
  std::string length
      = head == std::string::npos
            ? ""
            : field_of (in.substr (0, head + 2), "Content-Length");

  if (head == std::string::npos)
    return 0;
  head += 4;
  if (in.substr (0, head).find ("chunked") != std::string::npos)
    {
      size_t end = in.find ("0\r\n\r\n", head);
      return end == std::string::npos ? 0 : end + 5;
    }
  size_t whole = head + (length.empty () ? 0 : std::stoul (length));
  return in.size () >= whole ? whole : 0;
}
