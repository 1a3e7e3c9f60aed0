"""The tier: gateways that agree on one line of versions of their state.

    messages   what is agreed on and what members send to each other: values
    effects    what a core asks of its process: values
    register   one register with compare-and-set over a few voters (CASPaxos, Rystsov 2018)
    line       the changes that the register's value may take, each made from the one before
    membership who is in the tier, as gossip has it: lives, confirmations, last signs of life
    probes     who is there: SWIM's probes and suspicion, with Lifeguard's care
    relay      when a question to a voter is also relayed through another member
    lease      who has heard of a majority of voters lately, by round trips alone
    content_store  contents by digest, fetched in blocks, whole and verified or not at all
    member     one process of the tier: the parts above, put together
    wire       datagrams: sealed with a shared key, versioned, replays refused
    disk       what outlasts the process: small values, synced before anything is said of them

All but `disk` are sans-IO: time comes in as an argument, effects go out as values, in the order in
which they have to happen. The same cores run in the daemon and in the fleet model. Nothing here
knows what a state means; what contradicts is told by whoever puts the tier to use.
"""
