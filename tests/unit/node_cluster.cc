#include "node_cluster.h"

#include <cstdlib>
#include <cstring>
#include <gtest/gtest.h>

static void
front_handle (void *task, struct eel_msg *msg)
{
  Vm *vm = static_cast<Vm *> (task);

  if (msg->kind == EEL_MSG_DRAIN)
    vm->front_drain_received = true;
  if (msg->kind == EEL_MSG_DRAINED)
    vm->exiting = true;
  if (msg->kind != EEL_MSG_ANSWER || msg->answer == nullptr)
    return;
  const struct eel_answer *answer = msg->answer;
  vm->answers[msg->call_id]
      = { answer->error,
          answer->outcome,
          answer->status,
          answer->spare,
          std::string (reinterpret_cast<char *> (answer->body.data),
                       answer->body.bytes),
          answer->next_key };
}

static void
upstream_handle (void *task, struct eel_msg *msg)
{
  Vm *vm = static_cast<Vm *> (task);

  if (msg->kind == EEL_MSG_RUN_CANCEL)
    {
      vm->cancelled.push_back (msg->call_id);
      vm->finish_run (msg->call_id, EEL_RUN_CANCELLED);
      return;
    }
  if (msg->kind != EEL_MSG_RUN)
    return;
  RunRecord record;
  record.target = msg->call->target;
  record.call_id = msg->call_id;
  for (uint32_t i = 0; i < msg->call->headers.count; i++)
    record.headers[msg->call->headers.items[i].name]
        = msg->call->headers.items[i].value;
  vm->runs.push_back (record);
  if (vm->on_run)
    vm->on_run (*vm, msg);
  else
    vm->finish_run (msg->call_id, EEL_RUN_ANSWERED, "fine");
}

// Encodes and decodes a message, as between two processes.
static struct eel_wire_message *
recode (const struct eel_wire_message *wire)
{
  struct eel_wire_message *out = nullptr;
  uint8_t *data = nullptr;
  size_t bytes = 0;

  EXPECT_EQ (eel_wire_encode (wire, &data, &bytes), EEL_OK);
  EXPECT_EQ (eel_wire_decode (data, bytes, eel_clock_us (), &out), EEL_OK);
  free (data);
  return out;
}

static void
deliver (Vm &vm, const struct eel_wire_message *wire)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_PEER_RECEIVED;
  msg.wire = recode (wire);
  eel_mailbox_post (vm.inbox (), &msg);
}

static void
peers_handle (void *task, struct eel_msg *msg)
{
  Vm *vm = static_cast<Vm *> (task);
  Cluster *cluster = vm->cluster;
  uint32_t to = static_cast<uint32_t> (msg->value);
  struct eel_msg out = {};

  if (msg->kind != EEL_MSG_PEER_SEND)
    return;
  cluster->sent_by_kind[msg->wire->kind]++;
  if (cluster->drop_message && cluster->drop_message (msg->wire, to))
    return;
  if (to == 0 || to > cluster->vms.size () || cluster->vm (to).node == nullptr
      || (cluster->report_unsent && cluster->report_unsent (msg->wire, to)))
    {
      out.kind = EEL_MSG_PEER_UNSENT;
      out.value = to;
      out.call_id = msg->wire->call_id;
      out.wire = msg->wire;
      msg->wire = nullptr;
      eel_mailbox_post (vm->inbox (), &out);
      return;
    }
  if (cluster->hold_message && cluster->hold_message (msg->wire, to))
    {
      cluster->held.emplace_back (to, msg->wire);
      msg->wire = nullptr;
      return;
    }
  deliver (cluster->vm (to), msg->wire);
}

// Delivers the held messages in the order in which they were sent.
void
Cluster::release_held ()
{
  for (auto &[to, wire] : held)
    {
      deliver (vm (to), wire);
      eel_wire_free (wire);
    }
  held.clear ();
}

static void
platform_handle (void *task, struct eel_msg *msg)
{
  if (msg->kind == EEL_MSG_PLATFORM_ROLE)
    static_cast<Vm *> (task)->reader = msg->value != 0;
}

void
Vm::finish_run (uint64_t call_id, enum eel_run_result result, const char *body)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_RUN_DONE;
  msg.call_id = call_id;
  msg.result = result;
  if (result == EEL_RUN_ANSWERED)
    {
      msg.answer = eel_answer_new (call_id);
      msg.answer->status = 200;
      eel_headers_add (&msg.answer->headers, "Content-Type", "text/plain");
      eel_body_set (&msg.answer->body, body, strlen (body));
    }
  eel_mailbox_post (inbox (), &msg);
}

void
Vm::upstream_state (enum eel_upstream_state state)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_UPSTREAM_STATE;
  msg.value = state;
  eel_mailbox_post (inbox (), &msg);
}

static void
default_settings (Vm &vm, uint32_t id, const char *service)
{
  struct eel_settings *settings = &vm.settings;

  settings->node = id;
  strcpy (settings->domain, "a");
  settings->domain_id = 1;
  strcpy (settings->service, service);
  strcpy (settings->peer.host, "127.0.0.1");
  settings->peer.port = static_cast<uint16_t> (7000 + id);
  settings->upstream_slots = 8;
  settings->upstream_connections = 8;
  settings->keys_max = 256;
  settings->calls_max = 256;
  settings->readers_per_domain = 2;
  settings->probe_interval_ms = 100;
  settings->drain_ms = 2000;
  memset (settings->key_secret, 7, sizeof settings->key_secret);
  if (id != 1)
    {
      settings->seed_count = 1;
      settings->seeds[0].node = 1;
      strcpy (settings->seeds[0].address.host, "127.0.0.1");
      settings->seeds[0].address.port = 7001;
    }
}

Cluster::Cluster (uint32_t count,
                  const char *service,
                  std::function<void (struct eel_settings &)> change)
{
  for (uint32_t id = 1; id <= count; id++)
    {
      vms.push_back (std::make_unique<Vm> ());
      Vm &vm = *vms.back ();
      vm.cluster = this;
      default_settings (vm, id, service);
      if (change)
        change (vm.settings);
      eel_mailbox_init (&vm.front, base, 1024, front_handle, &vm);
      eel_mailbox_init (&vm.upstream, base, 1024, upstream_handle, &vm);
      eel_mailbox_init (&vm.peers, base, 1024, peers_handle, &vm);
      eel_mailbox_init (&vm.platform, base, 1024, platform_handle, &vm);
      vm.audit_entries.resize (64);
      eel_audit_init (&vm.audit, id, vm.audit_entries.data (), 64);
      start (vm);
    }
  // Waits until every node is ready and has all the others as alive members.
  EXPECT_TRUE (run_until (
      [this, count] {
        for (uint32_t id = 1; id <= count; id++)
          {
            uint16_t status = 0;
            std::string text = query (id, "ready", &status);
            size_t alive = 0;

            text = query (id, "members", nullptr);
            for (size_t at = 0; (at = text.find ("alive", at)) != text.npos;
                 at++)
              alive++;
            if (status != 200 || alive < count)
              return false;
          }
        return true;
      },
      8000));
}

Cluster::~Cluster ()
{
  for (auto &vm : vms)
    {
      stop (*vm);
      eel_mailbox_finish (&vm->front);
      eel_mailbox_finish (&vm->upstream);
      eel_mailbox_finish (&vm->peers);
      eel_mailbox_finish (&vm->platform);
    }
  event_base_free (base);
}

void
Cluster::start (Vm &vm)
{
  static uint64_t incarnation = 1000;
  struct eel_node_outputs outputs
      = { &vm.front, &vm.upstream, &vm.peers, &vm.platform, nullptr };

  eel_metrics_init (&vm.metrics);
  vm.node = eel_node_new (base, &vm.settings, ++incarnation, &vm.metrics,
                          &vm.audit);
  ASSERT_NE (vm.node, nullptr);
  eel_node_connect (vm.node, &outputs);
  vm.upstream_state (EEL_UPSTREAM_UP);
}

void
Cluster::stop (Vm &vm)
{
  if (vm.node == nullptr)
    return;
  eel_node_free (vm.node);
  eel_metrics_finish (&vm.metrics);
  vm.node = nullptr;
}

bool
Cluster::run_until (const std::function<bool ()> &until, int timeout_ms)
{
  int64_t end_us = eel_clock_us () + timeout_ms * EEL_US_PER_MS;

  while (!until ())
    {
      if (eel_clock_us () >= end_us)
        return false;
      event_base_loop (base, EVLOOP_ONCE);
      if (restart_node != 0)
        {
          stop (vm (restart_node));
          start (vm (restart_node));
          restart_node = 0;
        }
    }
  return true;
}

void
Cluster::run_for (int ms)
{
  run_until ([] { return false; }, ms);
}

void
Cluster::call (uint32_t id,
               uint64_t number,
               const std::function<void (struct eel_call &)> &change)
{
  struct eel_msg msg = {};

  msg.kind = EEL_MSG_CALL;
  msg.call_id = number;
  msg.reply_to = &vm (id).front;
  msg.call = eel_call_new ();
  msg.call->id = number;
  msg.call->arrived_us = eel_clock_us ();
  strcpy (msg.call->service, "orders");
  strcpy (msg.call->method, "GET");
  snprintf (msg.call->target, sizeof msg.call->target, "/item/%llu",
            static_cast<unsigned long long> (number));
  if (change)
    change (*msg.call);
  eel_mailbox_post (vm (id).inbox (), &msg);
}

std::string
Cluster::issue_key (uint32_t id)
{
  struct eel_msg msg = {};
  const uint64_t number = 900000;

  vm (id).answers.erase (number);
  msg.kind = EEL_MSG_KEYS;
  msg.call_id = number;
  msg.value = 1;
  msg.reply_to = &vm (id).front;
  eel_mailbox_post (vm (id).inbox (), &msg);
  EXPECT_TRUE (wait_for_answer (id, number));
  std::string text = vm (id).answers[number].body;
  return text.substr (0, text.find ('\n'));
}

std::string
Cluster::query (uint32_t id, const char *name, uint16_t *status)
{
  struct eel_msg msg = {};
  const uint64_t number = 900001;

  vm (id).answers.erase (number);
  msg.kind = EEL_MSG_QUERY;
  msg.call_id = number;
  snprintf (msg.text, sizeof msg.text, "%s", name);
  msg.reply_to = &vm (id).front;
  eel_mailbox_post (vm (id).inbox (), &msg);
  EXPECT_TRUE (wait_for_answer (id, number));
  if (status != nullptr)
    *status = vm (id).answers[number].status;
  return vm (id).answers[number].body;
}

bool
Cluster::wait_for_answer (uint32_t id, uint64_t number, int timeout_ms)
{
  return run_until (
      [this, id, number] { return vm (id).answers.count (number) > 0; },
      timeout_ms);
}

size_t
Cluster::runs () const
{
  size_t count = 0;

  for (const auto &vm : vms)
    count += vm->runs.size ();
  return count;
}

void
make_order (struct eel_call &call, const std::string &key)
{
  strcpy (call.method, "POST");
  strcpy (call.target, "/order");
  eel_body_set (&call.body, "one", 3);
  if (key.empty ())
    return;
  call.given |= EEL_GIVEN_KEY;
  EXPECT_EQ (eel_key_decode (&call.key, key.c_str ()), EEL_OK);
}
