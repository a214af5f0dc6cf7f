package org.cuminshelf.replica;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.AppendAnswer;
import org.cuminshelf.message.AppendRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.GroupStatus;
import org.cuminshelf.message.HardState;
import org.cuminshelf.message.JoinRequest;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.ReplicaHeader;
import org.cuminshelf.message.Snapshot;
import org.cuminshelf.message.SnapshotAnswer;
import org.cuminshelf.message.SnapshotPart;
import org.cuminshelf.message.VoteAnswer;
import org.cuminshelf.message.VoteRequest;
import org.cuminshelf.message.Voter;

/**
 * One replica of a Raft group: takes part in elections, replicates the log as a leader or follower, and applies
 * committed entries to the state machine. Times are in nanoseconds of the local monotonic clock.
 *
 * <p>Guards against these failures beyond those covered by plain Raft:
 * <ul>
 *   <li>A replica restarts with an empty or older disk and votes a second time in the same term. Members are known by
 *       an identity that is generated with their disk; an unknown identity has no vote and joins as a learner.</li>
 *   <li>A replica that was partitioned returns with a high term and deposes a working leader. Trial votes (Raft's
 *       pre-votes) prevent that, as does the refusal of votes by replicas that are in contact with a leader.</li>
 *   <li>A partitioned leader goes on acting as the leader. Its lease ends before any other replica may vote, and it
 *       steps down when no quorum has answered for the longest election timeout.</li>
 * </ul>
 */
public final class Replica {

    /** The role of a replica in its group. */
    public enum Role {
        /** Belongs to no cluster. */
        UNFORMED,
        /** Follows a leader, or waits for an election timeout. */
        FOLLOWER,
        /** Collects trial votes, without a change of its term. */
        TRIAL,
        /** Collects votes for a new term. */
        CANDIDATE,
        /** Leads the group in its term. */
        LEADER
    }

    private static final long HEARTBEAT_INTERVAL_NANOS = Durations.nanos(100);
    /** Also the time after the last contact with a leader in which a replica grants no vote. */
    private static final long MIN_ELECTION_TIMEOUT_NANOS = Durations.nanos(600);
    /** Width of the random part that is added to {@link #MIN_ELECTION_TIMEOUT_NANOS}. */
    private static final long ELECTION_TIMEOUT_SPREAD_NANOS = Durations.nanos(300);
    /** Shorter than {@link #MIN_ELECTION_TIMEOUT_NANOS}, so that the lease ends before another replica may vote. */
    private static final long LEASE_NANOS = Durations.nanos(450);

    private static final long FORMATION_RETRY_NANOS = Durations.nanos(300);

    private final ReplicaSettings settings;
    private final UniformRandomProvider random;
    private final Invariants invariants;
    private final long identity;
    private final ReplicatedLog log = new ReplicatedLog();
    private final AppliedState applied;
    private final DurabilityTracker durability;
    private final PeerTable peers;
    private final LogSender sender;
    private final Set<Long> votes = new HashSet<>();
    private final ClusterFormation formation;
    private final PendingReads pendingReads = new PendingReads();

    private long clusterId;
    private volatile long term;
    /** The identity that got this replica's vote in the term, or empty. */
    private String votedFor = "";

    private Role role;
    private volatile Optional<Address> leader = Optional.empty();
    private long commitIndex;
    /** The commit index in the newest hard state handed to {@link #durability}. */
    private long savedCommitIndex;

    private long electionDue;
    private boolean hasTicked;
    private long lastLeaderContact;
    private long nextHeartbeat;

    private long leaderSince;
    /** The group's clock, in milliseconds, when this replica became the leader. */
    private long clockAtElectionMillis;

    private long termFirstIndex;
    /** Whether entries are to be sent before the next heartbeat. */
    private boolean hasEntriesToSend;

    private Replica(
            ReplicaSettings settings,
            DurableState durableState,
            ReplicatedStateMachine stateMachine,
            long now,
            UniformRandomProvider random,
            Invariants invariants) {
        this.settings = settings;
        this.formation = new ClusterFormation(settings);
        this.applied = new AppliedState(log, stateMachine);
        this.random = random;
        this.invariants = invariants;
        this.identity = durableState.hardState().getIdentity();
        this.peers = new PeerTable(identity);
        this.sender = new LogSender(log, peers);
        this.clusterId = durableState.hardState().getCluster();
        this.term = durableState.hardState().getTerm();
        this.votedFor = durableState.hardState().getVotedFor();
        durableState.snapshot().ifPresent(this::restore);
        replay(durableState);
        this.savedCommitIndex = commitIndex;
        this.durability = new DurabilityTracker(settings.group(), log.lastIndex(), commitIndex);
        long storedSnapshotIndex =
                durableState.snapshot().map(Snapshot::getIndex).orElse(0L);
        if (log.snapshot().getIndex() > storedSnapshotIndex) {
            durability.addRecord(LogRecord.newBuilder().setSnapshot(log.snapshot()));
        }
        this.role = clusterId == 0 ? Role.UNFORMED : Role.FOLLOWER;
        // Grants no vote right after a restart: the lease of a leader that it acknowledged before may not have ended.
        this.lastLeaderContact = now;
        this.electionDue = now + electionTimeout();
    }

    /**
     * Starts a replica from its persistent state.
     *
     * @param settings     the configuration
     * @param durableState the state read from the disk
     * @param stateMachine the state machine, in its initial state
     * @param now          the time in nanoseconds, or any earlier time after the last message of an earlier process
     *                     with this disk; votes are withheld and the election timeout runs from this time
     * @param random       the seeded source of election timeouts and cluster ids
     * @param invariants   receives the results of invariant checks
     * @return the replica
     */
    public static Replica start(
            ReplicaSettings settings,
            DurableState durableState,
            ReplicatedStateMachine stateMachine,
            long now,
            UniformRandomProvider random,
            Invariants invariants) {
        return new Replica(settings, durableState, stateMachine, now, random, invariants);
    }

    /**
     * Processes a message from another replica or from the storage. Ignores messages of other kinds.
     *
     * @param now   the time in nanoseconds
     * @param from  the sender
     * @param input the message
     * @param out   receives the messages to send
     */
    public void accept(long now, Address from, Envelope input, Outbox out) {
        switch (input.getBodyCase()) {
            case FORMATION_QUERY -> formation.sendAnswer(from, identity, clusterId, out);
            case FORMATION_ANSWER -> {
                boolean mayForm = formation.onAnswer(from, input.getFormationAnswer());
                if (mayForm && role == Role.UNFORMED) {
                    formCluster(now);
                }
            }
            case JOIN_REQUEST -> onJoin(now, from, input.getJoinRequest(), out);
            case VOTE_REQUEST -> onVoteRequest(now, from, input.getVoteRequest());
            case VOTE_ANSWER -> onVoteAnswer(now, input.getVoteAnswer());
            case APPEND_REQUEST -> onAppend(now, from, input.getAppendRequest());
            case APPEND_ANSWER -> onAppendAnswer(now, input.getAppendAnswer());
            case SNAPSHOT_PART -> onSnapshot(now, from, input.getSnapshotPart());
            case SNAPSHOT_ANSWER -> onSnapshotAnswer(now, input.getSnapshotAnswer());
            case PERSISTED -> {
                durability.onPersisted(input.getPersisted().getSequence(), out);
                advanceCommit();
            }
            default -> {
                // Not addressed to a replica.
            }
        }
    }

    /**
     * Runs elections and heartbeats that are due, applies committed entries and hands records to the storage.
     *
     * @param now the time in nanoseconds
     * @param out receives the messages to send
     */
    public void tick(long now, Outbox out) {
        if (!hasTicked) {
            hasTicked = true;
            // Spreads the first elections of processes that start at the same time, regardless of their startup times.
            electionDue = Math.max(electionDue, now + random.nextLong(ELECTION_TIMEOUT_SPREAD_NANOS));
        }
        if (now >= electionDue && role != Role.LEADER) {
            onElectionTimeout(now, out);
        }
        if (role == Role.LEADER) {
            tickLeader(now, out);
        }
        if (settings.persistsCommitIndex() && commitIndex > savedCommitIndex) {
            saveHardState();
        }
        applyCommitted();
        compactIfDue();
        durability.flush(log.lastIndex(), savedCommitIndex, out);
    }

    /**
     * Returns when the next tick is due.
     *
     * @return the time in nanoseconds, 0 for at once
     */
    public long nextDue() {
        if (role == Role.LEADER) {
            return hasEntriesToSend || pendingReads.needsRoundAfter(peers.round()) ? 0 : nextHeartbeat;
        }
        return electionDue;
    }

    /**
     * Appends an entry to the log, if this replica is the leader.
     *
     * @param now     the time in nanoseconds
     * @param command the entry without index, term and clock
     * @return the index of the entry, which a later leader may still replace; empty if this replica isn't the leader
     */
    public Optional<Long> propose(long now, LogEntry.Builder command) {
        if (role != Role.LEADER) {
            return Optional.empty();
        }
        long clockMillis = Math.max(log.lastClock(), clockAtElectionMillis + Durations.millis(now - leaderSince));
        LogEntry entry = command.setIndex(log.lastIndex() + 1)
                .setTerm(term)
                .setClockMs(clockMillis)
                .build();
        append(entry);
        hasEntriesToSend = true;
        return Optional.of(entry.getIndex());
    }

    /**
     * Requests a linearizable read: {@link #takeConfirmedReads()} returns the token once a quorum has confirmed that
     * this replica still leads.
     *
     * @param token identifies the read
     * @return whether the read was accepted; false if this replica isn't the leader
     */
    public boolean confirmRead(long token) {
        if (role != Role.LEADER) {
            return false;
        }
        pendingReads.add(peers.round() + 1, token);
        return true;
    }

    /**
     * Returns and removes the confirmed reads. The state machine now includes every entry committed before they were
     * requested.
     *
     * @return the tokens of the reads
     */
    public List<Long> takeConfirmedReads() {
        return pendingReads.takeConfirmed();
    }

    /** {@return whether this replica is the leader of its term, even if a later term has another leader} */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /**
     * Returns whether this replica is the leader and, by its clock, no other replica can be one.
     *
     * @param now the time in nanoseconds
     * @return true while the lease holds
     */
    public boolean hasLease(long now) {
        return role == Role.LEADER
                && commitIndex >= termFirstIndex
                && !peers.isLeaseInvalidated(now)
                && now < leaseEnd(now);
    }

    /**
     * Returns until when no other replica can become the leader. Meaningful only on the leader.
     *
     * @param now the time in nanoseconds
     * @return the end of the lease in nanoseconds
     */
    public long leaseEnd(long now) {
        return peers.leaseStart(now) + LEASE_NANOS;
    }

    /**
     * Invalidates the lease until a quorum acknowledges a message sent from now on. Guards against a leader whose VM
     * was suspended together with its monotonic clock, and which would resume with a lease that has ended.
     *
     * @param now the time in nanoseconds
     */
    public void onClockJump(long now) {
        peers.invalidateLease(now);
    }

    /**
     * Returns whether this replica still knows every committed entry that it has ever published: it is a voter by its
     * own log, and the entries it has applied are covered by its durable commit index.
     *
     * @return true if so
     */
    public boolean isVoterWithDurableCommit() {
        return isVoter(identity)
                && (!settings.persistsCommitIndex() || applied.index() <= durability.durableCommitIndex());
    }

    /** {@return the address of the leader that this replica follows or is, empty if none is known} */
    public Optional<Address> leader() {
        return leader;
    }

    /** {@return the addresses of all members in this replica's log, including learners} */
    public List<Address> memberAddresses() {
        return Memberships.addresses(log.membership());
    }

    /** {@return the current term} */
    public long term() {
        return term;
    }

    /** {@return the index of the last entry applied to the state machine} */
    public long appliedIndex() {
        return applied.index();
    }

    /** {@return the size of the log entries and the snapshot held in memory, in bytes} */
    public long heldLogBytes() {
        return log.heldBytes();
    }

    /** {@return the status shown to operators} */
    public GroupStatus status() {
        return GroupStatus.newBuilder()
                .setGroup(settings.group())
                .setRole(role.name())
                .setTerm(term)
                .setCommit(commitIndex)
                .setLeader(leader.map(Address::value).orElse(""))
                .addAllVoters(log.membership().getVotersList())
                .setFirstIndex(log.firstIndex())
                .setLastIndex(log.lastIndex())
                .build();
    }

    // ---- formation

    private void formCluster(long now) {
        clusterId = Math.max(1, random.nextLong() & Long.MAX_VALUE);
        Snapshot first = Snapshot.newBuilder()
                .setIndex(1)
                .setTerm(1)
                .setMembership(formation.initialMembership(identity))
                .setState(applied.saveState())
                .build();
        term = 1;
        restore(first);
        saveHardState();
        durability.addRecord(LogRecord.newBuilder().setSnapshot(first));
        role = Role.FOLLOWER;
        electionDue = now;
        lastLeaderContact = now - MIN_ELECTION_TIMEOUT_NANOS;
    }

    /** Adds the sender to the membership as a learner, or forwards its request to the leader. */
    private void onJoin(long now, Address from, JoinRequest request, Outbox out) {
        ReplicaHeader header = request.getHeader();
        boolean isOpen = settings.membershipPolicy().isOpen();
        if (role != Role.LEADER && isOpen) {
            forwardJoin(from, request, out);
            return;
        }
        Address joiningAddress = isOpen && !request.getAddress().isEmpty() ? Address.of(request.getAddress()) : from;
        boolean allowed = isOpen || settings.peers().contains(joiningAddress);
        if (!canChangeMembership() || !allowed || Memberships.isMember(log.membership(), header.getIdentity())) {
            return;
        }
        changeMembership(now, Memberships.withLearner(log.membership(), joiningAddress, header.getIdentity()));
    }

    /** Forwards a join request to the leader, as the sender may know only followers. Forwards it only once. */
    private void forwardJoin(Address from, JoinRequest request, Outbox out) {
        boolean isFromJoiningReplica = request.getAddress().equals(from.value());
        if (isFromJoiningReplica) {
            leader.filter(known -> !known.equals(settings.self()))
                    .ifPresent(known -> out.send(known, Envelope.newBuilder().setJoinRequest(request)));
        }
    }

    /** Whether this leader has committed an entry of its term and no membership change is in progress. */
    private boolean canChangeMembership() {
        return role == Role.LEADER && commitIndex >= termFirstIndex && log.lastMembershipIndex() <= commitIndex;
    }

    private void maintainMembership(long now) {
        if (canChangeMembership()) {
            MembershipMaintenance.next(now, log.membership(), peers, commitIndex, settings.membershipPolicy())
                    .ifPresent(next -> changeMembership(now, next));
        }
    }

    private void changeMembership(long now, Membership next) {
        propose(now, LogEntry.newBuilder().setMembership(next));
        peers.updateMembership(log.membership(), log.lastIndex(), now);
    }

    private boolean isVoter(long candidate) {
        return Memberships.isVoter(log.membership(), candidate);
    }

    // ---- elections

    private void onElectionTimeout(long now, Outbox out) {
        if (role == Role.UNFORMED) {
            boolean isOnlyPeer = settings.peers().equals(List.of(settings.self()));
            if (isOnlyPeer && settings.membershipPolicy().mayForm()) {
                formCluster(now);
            } else {
                formation.queryPeers(header(), role != Role.UNFORMED, Memberships.addresses(log.membership()), out);
                electionDue = now + FORMATION_RETRY_NANOS;
            }
            return;
        }
        electionDue = now + electionTimeout();
        if (isVoter(identity)) {
            startElection(now, true);
        } else {
            leader = Optional.empty();
            formation.queryPeers(header(), role != Role.UNFORMED, Memberships.addresses(log.membership()), out);
        }
    }

    private void startElection(long now, boolean trial) {
        role = trial ? Role.TRIAL : Role.CANDIDATE;
        leader = Optional.empty();
        votes.clear();
        votes.add(identity);
        if (!trial) {
            term++;
            votedFor = String.valueOf(identity);
            saveHardState();
        }
        for (Voter voter : log.membership().getVotersList()) {
            if (voter.getIdentity() != identity && !voter.getLearner()) {
                requestVote(voter, trial);
            }
        }
        countVotes(now);
    }

    private void requestVote(Voter voter, boolean trial) {
        VoteRequest request = VoteRequest.newBuilder()
                .setHeader(headerTo(voter.getIdentity()).toBuilder().setTerm(trial ? term + 1 : term))
                .setLastIndex(log.lastIndex())
                .setLastTerm(log.lastTerm())
                .setTrial(trial)
                .build();
        durability.sendWhenDurable(
                Address.of(voter.getAddress()), Envelope.newBuilder().setVoteRequest(request));
    }

    private void onVoteRequest(long now, Address from, VoteRequest request) {
        ReplicaHeader header = request.getHeader();
        if (!acceptsHeader(header)) {
            return;
        }
        boolean isLeaderAlive = now - lastLeaderContact < MIN_ELECTION_TIMEOUT_NANOS || role == Role.LEADER;
        boolean isLogUpToDate = request.getLastTerm() > log.lastTerm()
                || request.getLastTerm() == log.lastTerm() && request.getLastIndex() >= log.lastIndex();
        if (isLeaderAlive) {
            answerVote(from, header.getTerm(), false, request.getTrial());
            return;
        }
        if (!request.getTrial() && header.getTerm() > term) {
            becomeFollower(now, header.getTerm(), Optional.empty());
        }
        boolean mayVote = request.getTrial()
                ? header.getTerm() > term
                : header.getTerm() == term
                        && (votedFor.isEmpty() || votedFor.equals(String.valueOf(header.getIdentity())));
        boolean granted = mayVote && isLogUpToDate && role != Role.LEADER;
        if (granted && !request.getTrial()) {
            votedFor = String.valueOf(header.getIdentity());
            electionDue = now + electionTimeout();
            saveHardState();
        }
        answerVote(from, granted ? header.getTerm() : term, granted, request.getTrial());
    }

    private void answerVote(Address to, long answerTerm, boolean granted, boolean trial) {
        VoteAnswer answer = VoteAnswer.newBuilder()
                .setHeader(header().toBuilder().setTerm(answerTerm))
                .setGranted(granted)
                .setTrial(trial)
                .build();
        durability.sendWhenDurable(to, Envelope.newBuilder().setVoteAnswer(answer));
    }

    private void onVoteAnswer(long now, VoteAnswer answer) {
        ReplicaHeader header = answer.getHeader();
        if (!acceptsHeader(header) || !isVoter(header.getIdentity())) {
            return;
        }
        Role askedRole = answer.getTrial() ? Role.TRIAL : Role.CANDIDATE;
        long askedTerm = answer.getTrial() ? term + 1 : term;
        if (answer.getGranted() && role == askedRole && header.getTerm() == askedTerm) {
            votes.add(header.getIdentity());
            countVotes(now);
        } else if (!answer.getGranted() && header.getTerm() > term && !answer.getTrial()) {
            becomeFollower(now, header.getTerm(), Optional.empty());
        }
    }

    private void countVotes(long now) {
        long voteCount = votes.stream().filter(this::isVoter).count();
        if (voteCount < Memberships.quorum(log.membership())) {
            return;
        }
        if (role == Role.TRIAL) {
            startElection(now, false);
        } else if (role == Role.CANDIDATE) {
            becomeLeader(now);
        }
    }

    private void becomeLeader(long now) {
        role = Role.LEADER;
        leader = Optional.of(settings.self());
        leaderSince = now;
        clockAtElectionMillis = log.lastClock();
        peers.clear();
        pendingReads.clear();
        peers.updateMembership(log.membership(), log.lastIndex(), now);
        termFirstIndex = log.lastIndex() + 1;
        nextHeartbeat = now;
        propose(now, LogEntry.newBuilder().setNone(true));
    }

    private void becomeFollower(long now, long newTerm, Optional<Address> newLeader) {
        boolean wasLeader = role == Role.LEADER;
        role = Role.FOLLOWER;
        leader = newLeader;
        if (newTerm > term) {
            term = newTerm;
            votedFor = "";
            saveHardState();
        }
        if (wasLeader) {
            pendingReads.clear();
            electionDue = now + electionTimeout();
        }
    }

    /**
     * Whether a message belongs to this replica's cluster and is addressed to its identity. A replica without a cluster
     * adopts that of the message. Guards against a leader that goes on sending to the identity of a replaced disk: the
     * new identity at that address would follow without being a member, never ask to join, and never count in a quorum.
     */
    private boolean acceptsHeader(ReplicaHeader header) {
        boolean isAddressee = header.getTarget() == 0 || header.getTarget() == identity;
        if (!header.getGroup().equals(settings.group()) || header.getCluster() == 0 || !isAddressee) {
            return false;
        }
        if (clusterId == 0) {
            clusterId = header.getCluster();
            role = Role.FOLLOWER;
            saveHardState();
        }
        return clusterId == header.getCluster();
    }

    // ---- follower

    /** Whether the sender leads a term that isn't older than this replica's; if so, this replica follows it. */
    private boolean followIfLeader(long now, Address from, ReplicaHeader header) {
        if (!acceptsHeader(header) || header.getTerm() < term) {
            return false;
        }
        invariants.check(
                role != Role.LEADER || header.getTerm() > term,
                "one-leader-in-a-term",
                () -> settings.group() + " has two leaders in term " + term);
        becomeFollower(now, header.getTerm(), Optional.of(from));
        lastLeaderContact = now;
        electionDue = now + electionTimeout();
        return true;
    }

    private void onAppend(long now, Address from, AppendRequest request) {
        if (!followIfLeader(now, from, request.getHeader())) {
            if (clusterId == request.getHeader().getCluster()
                    && request.getHeader().getTerm() < term) {
                answerAppend(from, false, log.lastIndex(), request.getRound());
            }
            return;
        }
        long previousIndex = request.getPreviousIndex();
        boolean matches = previousIndex < log.firstIndex() - 1
                || log.term(previousIndex)
                        .filter(storedTerm -> storedTerm == request.getPreviousTerm())
                        .isPresent();
        if (!matches) {
            long hint = Math.min(previousIndex - 1, log.lastIndex());
            answerAppend(from, false, Math.max(hint, commitIndex), request.getRound());
            return;
        }
        for (LogEntry entry : request.getEntriesList()) {
            storeEntry(entry);
        }
        long matched = previousIndex + request.getEntriesCount();
        commitIndex = Math.max(commitIndex, Math.min(request.getCommit(), matched));
        answerAppend(from, true, matched, request.getRound());
    }

    private void storeEntry(LogEntry entry) {
        if (entry.getIndex() < log.firstIndex()) {
            return;
        }
        Optional<Long> storedTerm = log.term(entry.getIndex());
        if (storedTerm.isPresent() && storedTerm.get() == entry.getTerm()) {
            return;
        }
        if (storedTerm.isPresent()) {
            invariants.check(
                    entry.getIndex() > commitIndex,
                    "committed-entries-stay",
                    () -> settings.group() + " would replace committed entry " + entry.getIndex());
            log.truncateFrom(entry.getIndex());
            durability.discardFrom(entry.getIndex());
            durability.addRecord(LogRecord.newBuilder().setCutFrom(entry.getIndex()));
        }
        append(entry);
    }

    private void answerAppend(Address to, boolean matched, long index, long acknowledgedRound) {
        AppendAnswer answer = AppendAnswer.newBuilder()
                .setHeader(header())
                .setMatched(matched)
                .setIndex(index)
                .setRound(acknowledgedRound)
                .build();
        durability.sendWhenDurable(to, Envelope.newBuilder().setAppendAnswer(answer));
    }

    private void onSnapshot(long now, Address from, SnapshotPart part) {
        if (!followIfLeader(now, from, part.getHeader())) {
            // Informs a leader of an older term of the newer one; it would otherwise go on sending snapshots in vain.
            if (clusterId == part.getHeader().getCluster() && part.getHeader().getTerm() < term) {
                answerSnapshot(from, 0, part.getRound());
            }
            return;
        }
        Snapshot snapshot = part.getSnapshot();
        if (snapshot.getIndex() > commitIndex) {
            if (snapshot.getIndex() < log.lastIndex()) {
                durability.discardFrom(snapshot.getIndex() + 1);
            }
            restore(snapshot);
            durability.addRecord(LogRecord.newBuilder().setSnapshot(snapshot));
            for (long index = log.firstIndex(); index <= log.lastIndex(); index++) {
                durability.addRecord(LogRecord.newBuilder().setEntry(log.entry(index)));
            }
        }
        answerSnapshot(from, snapshot.getIndex(), part.getRound());
    }

    private void answerSnapshot(Address to, long index, long acknowledgedRound) {
        SnapshotAnswer answer = SnapshotAnswer.newBuilder()
                .setHeader(header())
                .setIndex(index)
                .setRound(acknowledgedRound)
                .build();
        durability.sendWhenDurable(to, Envelope.newBuilder().setSnapshotAnswer(answer));
    }

    // ---- leader

    private void tickLeader(long now, Outbox out) {
        boolean hasLostQuorum =
                now - peers.leaseStart(now) > MIN_ELECTION_TIMEOUT_NANOS + ELECTION_TIMEOUT_SPREAD_NANOS;
        if (hasLostQuorum && now - leaderSince > MIN_ELECTION_TIMEOUT_NANOS + ELECTION_TIMEOUT_SPREAD_NANOS) {
            becomeFollower(now, term, Optional.empty());
            return;
        }
        boolean hasPendingReads = pendingReads.needsRoundAfter(peers.round());
        if (now >= nextHeartbeat || hasPendingReads) {
            nextHeartbeat = now + HEARTBEAT_INTERVAL_NANOS;
            peers.startRound(now);
            maintainMembership(now);
            peers.all().forEach(peer -> replicateTo(now, peer, out));
        } else if (hasEntriesToSend) {
            peers.all().forEach(peer -> sendNewEntries(now, peer, out));
        }
        hasEntriesToSend = false;
        advanceCommit();
        confirmReads();
    }

    private void sendNewEntries(long now, Peer peer, Outbox out) {
        if (sender.hasNews(now, peer)) {
            replicateTo(now, peer, out);
        }
    }

    private void replicateTo(long now, Peer peer, Outbox out) {
        if (!peers.isBeingReplaced(peer)) {
            sender.send(now, peer, headerTo(peer.identity), publishableCommitIndex(), out);
        }
    }

    private Optional<Peer> recordAnswer(long now, ReplicaHeader header, long acknowledgedRound) {
        if (!acceptsHeader(header)) {
            return Optional.empty();
        }
        if (header.getTerm() > term) {
            becomeFollower(now, header.getTerm(), Optional.empty());
        }
        Optional<Peer> peer = peers.peer(header.getIdentity());
        if (role != Role.LEADER || peer.isEmpty() || header.getTerm() != term) {
            return Optional.empty();
        }
        peers.recordAnswer(peer.get(), acknowledgedRound, now);
        return peer;
    }

    private void onAppendAnswer(long now, AppendAnswer answer) {
        Optional<Peer> sender = recordAnswer(now, answer.getHeader(), answer.getRound());
        if (sender.isEmpty()) {
            return;
        }
        Peer peer = sender.get();
        if (answer.getMatched()) {
            peer.matchUpTo(answer.getIndex());
            advanceCommit();
        } else {
            peer.continueAt(Math.max(peer.matchIndex, Math.min(peer.nextIndex - 1, answer.getIndex())) + 1);
        }
        hasEntriesToSend |= peer.nextIndex <= log.lastIndex();
        confirmReads();
    }

    private void onSnapshotAnswer(long now, SnapshotAnswer answer) {
        recordAnswer(now, answer.getHeader(), answer.getRound()).ifPresent(peer -> {
            peer.awaitsSnapshotAnswer = false;
            peer.matchUpTo(answer.getIndex());
            hasEntriesToSend = true;
            advanceCommit();
        });
    }

    /** Confirms reads, once an entry of this term is committed and all committed entries are applied. */
    private void confirmReads() {
        if (applied.index() >= termFirstIndex && applied.index() >= commitIndex) {
            pendingReads.confirmUpTo(peers.quorumAcknowledgedRound());
        }
    }

    /** Commits what is durable on a quorum, only up to an entry of this leader's own term, as Raft requires. */
    private void advanceCommit() {
        if (role != Role.LEADER) {
            return;
        }
        long quorumIndex = peers.quorumMatchIndex(durability.durableIndex());
        boolean isOwnTerm =
                log.term(quorumIndex).filter(storedTerm -> storedTerm == term).isPresent();
        if (quorumIndex > commitIndex && isOwnTerm) {
            commitIndex = quorumIndex;
        }
    }

    // ---- log and state machine

    private void append(LogEntry entry) {
        log.append(entry);
        durability.addRecord(LogRecord.newBuilder().setEntry(entry));
    }

    private void saveHardState() {
        HardState state = HardState.newBuilder()
                .setCluster(clusterId)
                .setIdentity(identity)
                .setTerm(term)
                .setVotedFor(votedFor)
                .setCommit(settings.persistsCommitIndex() ? commitIndex : 0)
                .build();
        savedCommitIndex = commitIndex;
        durability.addRecord(LogRecord.newBuilder().setHardState(state));
    }

    private void restore(Snapshot snapshot) {
        applied.restore(snapshot);
        commitIndex = Math.max(commitIndex, snapshot.getIndex());
    }

    private void applyCommitted() {
        applied.applyUpTo(publishableCommitIndex());
        confirmReads();
    }

    /** The highest index that may be applied and sent to followers: the durable commit index if it is persisted. */
    private long publishableCommitIndex() {
        return settings.persistsCommitIndex() ? Math.min(commitIndex, durability.durableCommitIndex()) : commitIndex;
    }

    /**
     * Appends the entries that were read from the disk, and applies those known to be committed. Snapshots on the way
     * keep a log that is larger than the memory from being held whole.
     */
    private void replay(DurableState durableState) {
        long durableCommitIndex = durableState.hardState().getCommit();
        for (LogEntry entry : durableState.entries()) {
            log.append(entry);
            commitIndex = Math.max(commitIndex, Math.min(durableCommitIndex, entry.getIndex()));
            applied.applyUpTo(commitIndex);
            if (applied.isSnapshotDue()) {
                applied.takeSnapshot();
            }
        }
    }

    private void compactIfDue() {
        if (applied.isSnapshotDue()) {
            durability.addRecord(LogRecord.newBuilder().setSnapshot(applied.takeSnapshot()));
        }
    }

    private ReplicaHeader headerTo(long target) {
        return header().toBuilder().setTarget(target).build();
    }

    private ReplicaHeader header() {
        return ReplicaHeader.newBuilder()
                .setGroup(settings.group())
                .setCluster(clusterId)
                .setTerm(term)
                .setIdentity(identity)
                .build();
    }

    private long electionTimeout() {
        return MIN_ELECTION_TIMEOUT_NANOS + random.nextLong(ELECTION_TIMEOUT_SPREAD_NANOS);
    }
}
