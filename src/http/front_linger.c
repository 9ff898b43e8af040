#include "http/front.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

static void
linger_close (struct front_linger *linger)
{
  bufferevent_free (linger->bev);
  linger->bev = NULL;
}

static void
linger_read (struct bufferevent *bev, void *data)
{
  struct front_linger *linger = data;
  struct evbuffer *input = bufferevent_get_input (bev);

  linger->dropped_bytes += evbuffer_get_length (input);
  evbuffer_drain (input, evbuffer_get_length (input));
  if (linger->dropped_bytes > FRONT_LINGER_BYTES_MAX)
    linger_close (linger);
}

static void
linger_written (struct bufferevent *bev, void *data)
{
  (void)data;
  shutdown (bufferevent_getfd (bev), SHUT_WR);
}

static void
linger_event (struct bufferevent *bev, short what, void *data)
{
  (void)bev;
  (void)what;
  linger_close (data);
}

static struct front_linger *
find_free_linger (struct eel_front *front)
{
  for (uint32_t i = 0; i < FRONT_LINGERS_MAX; i++)
    if (front->lingers[i].bev == NULL)
      return &front->lingers[i];
  return NULL;
}

/*
 * Sends a refusal and discards further input, because closing a socket with
 * unread input resets the connection and the refusal would be lost.  Takes
 * ownership of bev, which is closed at once when all lingers are in use.
 */
void
front_linger_start (struct eel_front *front,
                    struct bufferevent *bev,
                    const struct front_refusal *refusal)
{
  struct front_linger *linger = find_free_linger (front);

  front_count_refusal (front, refusal->error);
  if (linger == NULL)
    {
      bufferevent_free (bev);
      return;
    }
  linger->bev = bev;
  linger->front = front;
  linger->until_us = eel_clock_us () + FRONT_LINGER_TIMEOUT_US;
  linger->dropped_bytes = 0;
  evbuffer_drain (bufferevent_get_input (bev),
                  evbuffer_get_length (bufferevent_get_input (bev)));
  bufferevent_setcb (bev, linger_read, linger_written, linger_event, linger);
  front_answer_write_refusal (front, bev, refusal);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

/* Closes the lingering connections that have exceeded their time limit. */
void
front_linger_sweep (struct eel_front *front, int64_t now_us)
{
  for (uint32_t i = 0; i < FRONT_LINGERS_MAX; i++)
    if (front->lingers[i].bev != NULL && front->lingers[i].until_us <= now_us)
      linger_close (&front->lingers[i]);
}

void
front_linger_close_all (struct eel_front *front)
{
  front_linger_sweep (front, INT64_MAX);
}
