"""The tier: gateways that agree on one sequence of versions of their state.

Values:

    config            a member's settings, and its status
    messages          the values that are agreed on, and the messages between members
    effects           what a member asks of its process

Agreement:

    register          one register with compare-and-set over a few voters (CASPaxos, Rystsov 2018)
    transitions       the changes of the register's value, each made from the one before
    proposer          a member's reads and rounds of the register, one job at a time
    voter             a voter's part of a member
    voter_messages    requests to the voter, and voters' replies
    startup_read      what follows the register read at startup
    register_view     the latest chosen state a member knows, and what its process applies
    pending_change    what a pending version waits for, and its activation
    activation        the delay before a pending version is activated
    active_versions   the versions that were active, as far as a member knows
    proposal          what became of a proposal, also where others have followed it
    round_recovery    when a voter completes a round whose proposer may have ended
    lease             whether a member has recently heard from a majority of voters
    lease_renewal     when a member requests its lease
    confirmations     which members have confirmed a state, and which it still waits for
    lease_expiry_reports  the voters' reports of expired leases

Membership:

    configuration     the members that a change waits for
    configuration_changes  the changes of the configuration
    join              how a member joins by itself
    operator_commands proposals, reads and configuration changes by operators
    operator_checks   reasons to reject an operator's command about a member
    membership        the members' records, spread by gossip
    probes            failure detection: SWIM's probes and suspicions, with Lifeguard's extensions
    liveness          records and probes, combined
    gossip            when a member gossips, and with whom
    gossip_exchange   makes and processes gossip messages
    relay, outbox     what is sent, in order, and when it is also sent over a relay

Contents:

    content_store     contents by digest: single blobs and trees of pages
    page_store        pages: which trees are complete, and which pages are unreferenced
    page_fetcher      fetches pages from several sources
    block_fetcher     fetches contents that are a single blob
    token_bucket      the budget of bytes for contents
    content_exchange  what a member serves, fetches and retains

Composition:

    parts             the components above, built from a member's disk
    member            one process of the tier: composes them and dispatches messages
    status_report     what `tier status` shows
    wire              datagrams: authenticated with a shared key, versioned, replays rejected
    disk              the items that outlast the process, synced before any message about them

All but `disk` are sans-IO: time is an argument, effects are returned as values in the order to
execute. The same code runs in the daemon and in the fleet model. Nothing here knows what a state
means; the caller decides whether a version contradicts its base.
"""
