#include "internal/task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "internal/wire.h"

/* Messages handled per loop iteration, so that socket events do not starve. */
#define MAILBOX_BATCH_MAX 256

/* Frees the members that the message still owns. */
void
eel_msg_clear (struct eel_msg *msg)
{
  eel_call_free (msg->call);
  eel_answer_free (msg->answer);
  eel_wire_free (msg->wire);
  free (msg->body.data);
  msg->call = NULL;
  msg->answer = NULL;
  msg->wire = NULL;
  msg->body.data = NULL;
  msg->body.bytes = 0;
}

static void
mailbox_drain (evutil_socket_t fd, short what, void *data)
{
  struct eel_mailbox *mailbox = data;
  uint32_t left = MAILBOX_BATCH_MAX;

  (void)fd;
  (void)what;
  while (mailbox->count > 0 && left-- > 0)
    {
      struct eel_msg msg = mailbox->ring[mailbox->head];

      mailbox->head = (mailbox->head + 1) % mailbox->capacity;
      mailbox->count--;
      mailbox->handler (mailbox->task, &msg);
      eel_msg_clear (&msg);
    }
  if (mailbox->count > 0)
    event_active (mailbox->wake, EV_TIMEOUT, 0);
}

/* The handler runs on base.  Returns 0 if out of memory. */
int
eel_mailbox_init (struct eel_mailbox *mailbox,
                  struct event_base *base,
                  uint32_t capacity,
                  eel_msg_handler handler,
                  void *task)
{
  memset (mailbox, 0, sizeof *mailbox);
  mailbox->ring = calloc (capacity, sizeof *mailbox->ring);
  mailbox->wake = event_new (base, -1, 0, mailbox_drain, mailbox);
  mailbox->capacity = capacity;
  mailbox->handler = handler;
  mailbox->task = task;
  if (mailbox->ring != NULL && mailbox->wake != NULL)
    return 1;
  eel_mailbox_finish (mailbox);
  return 0;
}

/* Discards the queued messages and frees the ring. */
void
eel_mailbox_finish (struct eel_mailbox *mailbox)
{
  while (mailbox->ring != NULL && mailbox->count > 0)
    {
      eel_msg_clear (&mailbox->ring[mailbox->head]);
      mailbox->head = (mailbox->head + 1) % mailbox->capacity;
      mailbox->count--;
    }
  if (mailbox->wake != NULL)
    event_free (mailbox->wake);
  free (mailbox->ring);
  mailbox->wake = NULL;
  mailbox->ring = NULL;
}

/* A message refused by a full mailbox is counted. */
int
eel_mailbox_post (struct eel_mailbox *mailbox, struct eel_msg *msg)
{
  uint32_t tail;

  if (mailbox->count == mailbox->capacity)
    {
      mailbox->refused++;
      eel_msg_clear (msg);
      return 0;
    }
  tail = (mailbox->head + mailbox->count) % mailbox->capacity;
  mailbox->ring[tail] = *msg;
  mailbox->posted++;
  if (mailbox->count++ == 0)
    event_active (mailbox->wake, EV_TIMEOUT, 0);
  return 1;
}
