/** Log events of gateways and control hosts and their meanings; docs/LOGS.md lists the same. */
export const LOG_EVENTS = {
  // Calls at a gateway.
  call_unrouted: 'No route matches, or the gateway has no routing yet; the call has not run.',
  call_unauthenticated:
    'The call was refused and has not run: no known key, or the routing may be old.',
  attempt_sent: 'An attempt was sent to a backend server; with the deciding load and its age.',
  attempt_failed: 'An attempt ended with no usable answer; outcome shows whether it may have run.',
  attempt_overdue: 'The timeout of the call expired while this attempt was in flight.',
  no_backend: 'No backend server was chosen; with the loads of those that answered a probe.',
  second_copy_refused: 'No hedge was sent for a slow idempotent call; with the reason.',
  call_forwarded: 'A call was sent to another gateway, as this one reaches no backend server.',
  call_received: 'Another gateway forwarded a call to this one.',
  forward_failed: 'A forwarded call ended with no usable answer of the other gateway.',
  no_peer: 'No other gateway takes forwarded calls; the call is refused.',
  call_suspected: 'A backend server crashed while it ran a call; with the standing of equal calls.',
  call_quarantined: 'Equal calls crashed several backend servers; this one is refused, not sent.',
  call_answered: 'The answer of a backend server is sent to the caller within the objective.',
  call_late: 'The answer of a backend server is sent to the caller after the objective.',
  call_refused: 'The call has not run and will not run; with the delay before a retry.',
  call_capped: 'The customer of a call is beyond its usage cap; the call is refused with 429.',
  call_failed: 'The call may have run, and there is no usable answer.',
  call_timed_out: 'The call may have run, and its timeout expired.',
  call_abandoned: 'The caller disconnected.',
  answer_undelivered:
    'A connection closed before an answer on it was sent completely; with the side that closed it.',
  call_unadmitted:
    'A request was read on a connection that ends before an answer to it; with the time since this host closed its side.',
  call_crashed: 'Handling a call failed with an unexpected error.',
  // State of a gateway.
  probe_unanswered: 'A backend server did not answer a probe; its backoff lasts pausedMs.',
  probe_rate:
    'Probes and picks of the last seconds, and the probes of each server if all gateways send as many.',
  probe_budget_exhausted:
    'Picks use backend servers unprobed, as the probe budget of a service is used up.',
  probe_late:
    'No probe that was sent since this one was answered either; its backend server is not blamed.',
  probe_misdirected: 'Another backend server answered the probe at this address.',
  backend_cold: 'A probe reported that a backend server is cold.',
  reach_checked:
    'Several backend servers failed; connections to a sample were tried, with the results.',
  backends_lost: 'No backend server of any service can be connected to from this host.',
  backends_regained: 'Backend servers can be connected to again.',
  backend_health: 'A backend server reported a change of its health.',
  backend_limit:
    'A backend server named, changed or ended its limit of requests from all entry hosts.',
  limit_unreadable: 'A backend server named a limit that can not be read; nothing changes.',
  backend_notice:
    'A backend server stated that it shuts down, or for how long it accepts nothing from this host.',
  backend_record_refused:
    'A record of a backend server has a value that no reader can use; it alone is left out.',
  backend_learned: 'A newer announcement of a backend server is in use.',
  backends_provisional: 'Backend servers known before a restart are used until they announce.',
  provisional_dropped: 'Backend servers known before a restart did not announce and were dropped.',
  routing_applied:
    'A newer routing is in force on this host; with the control host that sent it and the newest index known.',
  routing_state:
    'Whether calls may be served by the applied routing changed: starting, current, behind, unconfirmed or cut-off; with the age and source of the last news of a current control host, and the links.',
  routing_in_force:
    'All gateways in contact apply a change, or the wait for them ended; with those missing.',
  routing_confirmed:
    'A change of the routing was confirmed; with the times since its application and its arrival, what it waited for last, the gateways that know of it and have not applied it, the number of gateways counted, the control hosts whose reports counted, and those left out with the reason.',
  confirmed_not_in_force:
    'A change was confirmed at the end of the wait; with the gateways that had not applied it.',
  rollout_applied: 'This gateway applies a new share or the verdict of a rollout.',
  gateway_started: 'The process is listening.',
  gateway_ready: 'The gateway has a routing and backend servers, and can serve callers.',
  gateway_not_ready: 'The gateway is no longer ready to serve callers.',
  gateway_stopping: 'A planned stop begins.',
  gateway_stopped: 'A planned stop ends.',
  customer_capped:
    'The first call of a customer in a window was refused by its cap; with the reason and level.',
  caps_current: 'Updates of usage caps arrive; decisions follow the level of all gateways.',
  caps_alone: 'No update of usage caps arrived in time; this host uses its own allowance.',
  control_regained: 'A link to a control host is open.',
  control_lost:
    'A link to a control host was lost; with its age, its silence and the bytes sent and not sent.',
  control_members: 'The set of control hosts to connect to changed.',
  metrics_failed: 'The metrics could not be served.',
  // Decisions and state of a control host.
  operator_request: 'This host handled a request of an operator; with the time that it took.',
  operator_redirected: 'This host sent an operator to the leader.',
  routing_malformed: 'A change of the routing could not be decoded.',
  announcement_malformed: 'An announcement could not be decoded and was rejected.',
  announcement_refused: 'An announcement was not confirmed: this host is in no connected majority.',
  backend_changed: 'A newer announcement changed values that dispatch depends on.',
  backend_departure: 'A departure was confirmed, or not; with the number of acknowledgements.',
  departure_waits:
    'A departure was not confirmed in time; with the hosts that have not acknowledged it.',
  backends_restored: 'Backend servers saved before the start are sent as provisional records.',
  backends_unsaved: 'The known backend servers could not be saved for the next start.',
  departures_restored:
    'Departures that this host acknowledged before its start are in force again.',
  departures_unsaved: 'Departures could not be saved; they are not acknowledged until they are.',
  backend_expired: 'Backend servers sent no announcement for too long and were removed.',
  gateways_absent: 'Gateways that reported usage have no session; their usage is assumed.',
  rollout_steered: 'The leader changed the share of a rollout, or ended it; with the reason.',
  membership_proposed: 'The leader proposed a new set of control hosts.',
  host_emptied: 'A host at the address of a voter reported that its disk was empty.',
  election_stalled:
    'An election of this host found too few votes; with the voters that granted, are emptied or are missing, and whether a recovery without the emptied ones was tried.',
  recovery_elected: 'This host leads without the voters whose disks were lost.',
  membership_learned: 'A joining host received the set of control hosts.',
  join_failed: 'A request to a control host to admit this one failed.',
  role_changed: 'Role, term or leader changed.',
  control_link_opened: 'A link to another control host is open.',
  control_link_lost:
    'A link to another control host was lost; with its age, its silence and the bytes sent and not sent.',
  control_started: 'The process is listening; with the term and last index of its log.',
  disk_refusing: 'The disk rejects writes; until it accepts them, this host acknowledges nothing.',
  disk_taking: 'The disk accepts writes again; with how long it rejected them.',
  write_abandoned: 'A write failed after the host began to stop; it was never acknowledged.',
  control_stopped: 'A planned stop ends.',
  control_request_failed: 'Handling a request failed with an unexpected error.',
  // Every process.
  link_refused: 'The other end of a link failed to authenticate with the shared secret.',
  link_failed: 'A link ended with an error, such as a message larger than a link accepts.',
  message_oversized: 'A message is larger than a link accepts and was not sent.',
  message_ignored: 'A message of a type that this version does not have was ignored.',
  message_refused: 'A malformed message of another process was rejected.',
  answer_broken_off: 'A long answer of a backend server broke off on its way to the caller.',
  connection_limited:
    'A connection was ended: its client is beyond a limit of this process; with the port and limit.',
  address_in_use:
    'An address is in use, as while the process before this one stops; it is tried again for a while.',
  stop_signal: 'The process received a signal to stop.',
  reload_signal: 'SIGHUP arrived; the settings file is read again.',
  settings_read:
    'The settings file was read; with the digests of its common settings and of those in force.',
  settings_refused: 'The settings file can not be used; the settings in force remain as a whole.',
  process_failed:
    'The process exits after an unrecoverable failure; with its origin and the stack of the listener.',
  lines_suppressed: 'Lines of one event above the limit per second were only counted.',
  lines_dropped: 'Lines were dropped because the log output was not read.',
} as const;

/** Name of a log event. */
export type LogEvent = keyof typeof LOG_EVENTS;
