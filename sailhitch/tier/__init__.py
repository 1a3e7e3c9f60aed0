"""The tier: gateways that agree on one line of versions of their state.

Values:

    config            what a member is told at its start, and whether it may act
    messages          what is agreed on, and what members send to each other
    effects           what a core asks of its process

Agreement:

    register          one register with compare-and-set over a few voters (CASPaxos, Rystsov 2018)
    line              the changes that the register's value may take, each made from the one before
    proposer          a member's rounds at the register, one job at a time
    voter             a voter's part of a member
    first_reading     what follows the reading of the register that a start begins with
    activation        when a pending version is made active
    round_recovery    when a voter completes a round whose proposer may have ended
    lease             who has heard of a majority of voters lately, by round trips alone
    confirmations     who has confirmed a head, and whom it still waits for
    lapse_reports     whose lease has lapsed, as the voters report it

Membership:

    roster            whom a change waits for
    enrolment         changes of the roster
    operator_checks   why what an operator asks about a member is refused
    membership        records of the members, as gossip has them
    probes            who is there: SWIM's probes and suspicion, with Lifeguard's care
    presence          records and probes, joined
    gossip            when a member gossips, and with whom
    relay, outbox     what is sent, in order, and when it is also sent over a relay

Contents:

    content_store     contents by digest, whole ones and trees of pages
    page_store        pages: which trees are whole, and which pages nothing refers to
    page_fetcher      fetches pages from several sources
    block_fetcher     fetches whole contents
    token_bucket      the byte budget
    content_exchange  what a member serves, fetches and retains

All of it:

    member            one process of the tier: the parts above, put together
    status_report     what `tier status` shows
    wire              datagrams: sealed with a shared key, versioned, replays refused
    disk              what outlasts the process: synced before anything is said of it

All but `disk` are sans-IO: time comes in as an argument, effects go out as values, in the order in
which they have to happen. The same cores run in the daemon and in the fleet model. Nothing here
knows what a state means; what contradicts is told by whoever puts the tier to use.
"""
