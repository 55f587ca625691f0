#include "nutmegtide/charts/chartlibrary.h"

namespace nutmegtide {

const ChartVocabularies &standardVocabularies()
{
    static const ChartVocabularies vocabularies = {
            {"backend_server",
             {{"admit_server", "probe_server", "withdraw_server", "record_lost", "record_leaving",
               "close_connections", "forget_server"}}},
            {"drain",
             {{"refuse_new_callers", "announce_leaving", "hand_over_homes", "abort_transactions",
               "stop_listeners"}}},
            {"primary_change",
             {{"probe_voters", "raise_term", "reserve_term", "fence_voters", "choose_primary",
               "promote_chosen", "follow_chosen", "await_barrier", "publish_group",
               "record_published", "record_failed", "schedule_retry"}}},
            {"control_role",
             {{"reset_election_timer", "adopt_term", "ask_pre_votes", "raise_term", "ask_votes",
               "append_barrier", "send_heartbeats", "record_leader", "record_stepped_down"}}},
            {"power",
             {{"order_on", "order_off", "drain_server", "cancel_drain", "record_confirmed",
               "record_failed"}}},
    };
    return vocabularies;
}

} // namespace nutmegtide
