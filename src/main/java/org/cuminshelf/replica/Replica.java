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
 * One replica of a group: votes, leads, follows, and hands committed entries to its machine.
 *
 * <p>Failures it guards against beyond those of plain Raft:
 * <ul>
 *   <li>A replica comes back with an empty or older disk and votes again in a term it voted in. Members are known by
 *       an identity that was made with their disk; an unknown identity has no vote, and joins as a learner.</li>
 *   <li>A replica that was cut off returns with a high term and deposes a working leader. Trial votes, and the refusal
 *       of votes while a leader is heard, keep it from that.</li>
 *   <li>A leader cut off by a partition believes in itself. Its lease ends before any other replica may vote, and it
 *       steps down when it has heard of no quorum for an election timeout.</li>
 * </ul>
 */
public final class Replica {

    /** How a replica takes part. */
    public enum Role {
        /** Belongs to no cluster yet. */
        UNFORMED,
        /** Follows a leader, or waits for one. */
        FOLLOWER,
        /** Asks whether it would be elected. */
        TRIAL,
        /** Stands for election. */
        CANDIDATE,
        /** Leads. */
        LEADER
    }

    private static final long HEARTBEAT = Durations.nanos(100);
    private static final long ELECTION_SHORTEST = Durations.nanos(600);
    private static final long ELECTION_SPREAD = Durations.nanos(300);
    private static final long LEASE = Durations.nanos(450);
    private static final long RESEND_AFTER = Durations.nanos(300);
    private static final long FORMATION_AGAIN = Durations.nanos(300);
    private static final int MOST_ENTRIES = 512;
    private static final long MOST_BYTES = 1L << 20;
    private static final int ENTRIES_BEFORE_SNAPSHOT = 2_000;
    private static final int ENTRIES_KEPT = 500;

    private final ReplicaSettings settings;
    private final ReplicatedStateMachine machine;
    private final UniformRandomProvider random;
    private final Invariants invariants;
    private final long identity;
    private final ReplicatedLog log = new ReplicatedLog();
    private final DurabilityTracker durability;
    private final PeerTable peers;
    private final Set<Long> votes = new HashSet<>();
    private final ClusterFormation formation;
    private final PendingReads reads = new PendingReads();

    private long cluster;
    private volatile long term;
    private String votedFor = "";
    private Role role;
    private volatile Optional<Address> leader = Optional.empty();
    private long commit;
    private long savedCommit;
    private volatile long applied;
    private long electionDue;
    private boolean ticked;
    private long leaderHeardAt;
    private long nextHeartbeat;

    private long ledSince;
    private long clockAtLead;
    private long termStart;
    private boolean appendDue;

    private Replica(
            ReplicaSettings settings,
            DurableState durable,
            ReplicatedStateMachine machine,
            long now,
            UniformRandomProvider random,
            Invariants invariants) {
        this.settings = settings;
        this.formation = new ClusterFormation(settings);
        this.machine = machine;
        this.random = random;
        this.invariants = invariants;
        this.identity = durable.hardState().getIdentity();
        this.peers = new PeerTable(identity);
        this.cluster = durable.hardState().getCluster();
        this.term = durable.hardState().getTerm();
        this.votedFor = durable.hardState().getVotedFor();
        durable.snapshot().ifPresent(this::load);
        durable.entries().forEach(log::append);
        this.commit = Math.max(commit, Math.min(durable.hardState().getCommit(), log.lastIndex()));
        this.savedCommit = commit;
        this.durability = new DurabilityTracker(settings.group(), log.lastIndex(), commit);
        this.role = cluster == 0 ? Role.UNFORMED : Role.FOLLOWER;
        // A vote right after its former life ended could break the lease of a leader this replica has forgotten.
        this.leaderHeardAt = now;
        this.electionDue = now + electionTimeout();
    }

    /**
     * Starts a replica from what its disk holds.
     *
     * @param settings   its group and peers
     * @param durable    what its disk holds
     * @param machine    what the log is applied to, in its first state
     * @param now        the time in nanoseconds, or an earlier one since which no former life has said anything
     * @param random     the seeded source of election timeouts
     * @param invariants receives the outcome of assertions
     * @return the replica
     */
    public static Replica start(
            ReplicaSettings settings,
            DurableState durable,
            ReplicatedStateMachine machine,
            long now,
            UniformRandomProvider random,
            Invariants invariants) {
        return new Replica(settings, durable, machine, now, random, invariants);
    }

    /**
     * Takes a message from another replica, or from the disk.
     *
     * @param now   the time in nanoseconds
     * @param from  the sender
     * @param input the message
     * @param out   receives what is to be sent
     */
    public void accept(long now, Address from, Envelope input, Outbox out) {
        switch (input.getBodyCase()) {
            case FORMATION_QUERY -> formation.answer(from, identity, cluster, out);
            case FORMATION_ANSWER -> {
                boolean mayForm = formation.onAnswer(from, input.getFormationAnswer());
                if (mayForm && role == Role.UNFORMED) {
                    form(now);
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
                // Not a message for a replica.
            }
        }
    }

    /**
     * Runs what is due, applies what is committed and hands records to the disk.
     *
     * @param now the time in nanoseconds
     * @param out receives what is to be sent
     */
    public void tick(long now, Outbox out) {
        if (!ticked) {
            ticked = true;
            // Processes that start together must not all stand at once, however long their programs took to start.
            electionDue = Math.max(electionDue, now + random.nextLong(ELECTION_SPREAD));
        }
        if (now >= electionDue && role != Role.LEADER) {
            onElectionDue(now, out);
        }
        if (role == Role.LEADER) {
            lead(now, out);
        }
        if (settings.recordsCommit() && commit > savedCommit) {
            saveHardState();
        }
        applyCommitted();
        compactIfLong();
        durability.flush(log.lastIndex(), savedCommit, out);
    }

    /**
     * Tells when the next tick is due.
     *
     * @return the time in nanoseconds
     */
    public long nextDue() {
        if (role == Role.LEADER) {
            return appendDue || reads.needsRoundAfter(peers.round()) ? 0 : nextHeartbeat;
        }
        return electionDue;
    }

    /**
     * Proposes an entry; only a leader can.
     *
     * @param now     the time in nanoseconds
     * @param command the entry without index, term and clock
     * @return the index it will have if it is committed in this term, or nothing where this replica doesn't lead
     */
    public Optional<Long> propose(long now, LogEntry.Builder command) {
        if (role != Role.LEADER) {
            return Optional.empty();
        }
        long clock = Math.max(log.lastClock(), clockAtLead + Durations.millis(now - ledSince));
        LogEntry entry = command.setIndex(log.lastIndex() + 1)
                .setTerm(term)
                .setClockMs(clock)
                .build();
        append(entry);
        appendDue = true;
        return Optional.of(entry.getIndex());
    }

    /**
     * Asks for confirmation that this replica still leads; the token comes back from {@link #takeConfirmedReads()}.
     *
     * @param token names the question
     * @return whether this replica believes it leads and has asked
     */
    public boolean confirmRead(long token) {
        if (role != Role.LEADER) {
            return false;
        }
        reads.add(peers.round() + 1, token);
        return true;
    }

    /**
     * Takes the questions confirmed by a quorum; what the machine holds now is no older than when they were asked.
     *
     * @return their tokens
     */
    public List<Long> takeConfirmedReads() {
        return reads.takeConfirmed();
    }

    /**
     * Tells whether this replica leads.
     *
     * @return true for the leader of its term
     */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /**
     * Tells whether no other replica can lead now, by this replica's clock.
     *
     * @param now the time in nanoseconds
     * @return true while the lease holds
     */
    public boolean hasLease(long now) {
        return role == Role.LEADER && commit >= termStart && !peers.isLeaseVoid(now) && now < leaseEnd(now);
    }

    /**
     * Tells until when no other replica can lead, if this one leads.
     *
     * @param now the time in nanoseconds
     * @return the end of the lease in nanoseconds
     */
    public long leaseEnd(long now) {
        return peers.leaseStart(now) + LEASE;
    }

    /**
     * Voids the lease until a quorum answers what is sent from now on. Guards against a leader whose VM stood still
     * without its monotonic clock: it wakes, and believes in a lease that ended long ago.
     *
     * @param now the time in nanoseconds
     */
    public void onClockJump(long now) {
        peers.voidLease(now);
    }

    /**
     * Tells whether this replica knows at least all that it ever told: it is a voter by its own log, and what it has
     * applied is durably known to be committed.
     *
     * @return true if so
     */
    public boolean isVoterWithDurableCommit() {
        return isVoter(identity) && (!settings.recordsCommit() || applied <= durability.durableCommit());
    }

    /**
     * The leader as far as this replica knows.
     *
     * @return its address
     */
    public Optional<Address> leader() {
        return leader;
    }

    /**
     * The addresses of all members, learners among them, by this replica's log.
     *
     * @return the addresses
     */
    public List<Address> memberAddresses() {
        return Memberships.addresses(log.membership());
    }

    /**
     * The current term.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * The last index applied to the machine.
     *
     * @return the index
     */
    public long appliedIndex() {
        return applied;
    }

    /**
     * Describes this replica for operators.
     *
     * @return its state
     */
    public GroupStatus status() {
        return GroupStatus.newBuilder()
                .setGroup(settings.group())
                .setRole(role.name())
                .setTerm(term)
                .setCommit(commit)
                .setLeader(leader.map(Address::value).orElse(""))
                .addAllVoters(log.membership().getVotersList())
                .setFirstIndex(log.firstIndex())
                .setLastIndex(log.lastIndex())
                .build();
    }

    // ---- formation
    // -----------------------------------------------------------------------------------------------

    private void form(long now) {
        cluster = Math.max(1, random.nextLong() & Long.MAX_VALUE);
        Snapshot first = Snapshot.newBuilder()
                .setIndex(1)
                .setTerm(1)
                .setMembership(formation.firstMembership(identity))
                .setState(machine.save())
                .build();
        term = 1;
        load(first);
        saveHardState();
        durability.save(LogRecord.newBuilder().setSnapshot(first));
        role = Role.FOLLOWER;
        electionDue = now;
        leaderHeardAt = now - ELECTION_SHORTEST;
    }

    /** Takes a replica in as a learner, or goes the next step with one whose disk was replaced. */
    private void onJoin(long now, Address from, JoinRequest request, Outbox out) {
        ReplicaHeader header = request.getHeader();
        boolean open = settings.membership().isOpen();
        if (role != Role.LEADER && open) {
            passOnJoin(from, request, out);
            return;
        }
        Address joining = open && !request.getAddress().isEmpty() ? Address.of(request.getAddress()) : from;
        boolean allowed = open || settings.peers().contains(joining);
        if (!isSettledLeader() || !allowed || Memberships.isMember(log.membership(), header.getIdentity())) {
            return;
        }
        changeMembership(now, Memberships.withLearner(log.membership(), joining, header.getIdentity()));
    }

    /** A replica that joins may know only followers: its question goes on to the leader, once. */
    private void passOnJoin(Address from, JoinRequest request, Outbox out) {
        boolean firstHand = request.getAddress().equals(from.value());
        if (firstHand) {
            leader.filter(known -> !known.equals(settings.self()))
                    .ifPresent(known -> out.send(known, Envelope.newBuilder().setJoinRequest(request)));
        }
    }

    private boolean isSettledLeader() {
        return role == Role.LEADER && commit >= termStart && log.lastMembershipIndex() <= commit;
    }

    private void mendMembership(long now) {
        if (isSettledLeader()) {
            MembershipMaintenance.next(now, log.membership(), peers, commit, settings.membership())
                    .ifPresent(next -> changeMembership(now, next));
        }
    }

    private void changeMembership(long now, Membership next) {
        propose(now, LogEntry.newBuilder().setMembership(next));
        peers.sync(log.membership(), log.lastIndex(), now);
    }

    private boolean isVoter(long candidate) {
        return Memberships.isVoter(log.membership(), candidate);
    }

    // ---- elections
    // -----------------------------------------------------------------------------------------------

    private void onElectionDue(long now, Outbox out) {
        if (role == Role.UNFORMED) {
            boolean alone = settings.peers().equals(List.of(settings.self()));
            if (alone && settings.membership().mayForm()) {
                form(now);
            } else {
                formation.ask(header(), role != Role.UNFORMED, Memberships.addresses(log.membership()), out);
                electionDue = now + FORMATION_AGAIN;
            }
            return;
        }
        electionDue = now + electionTimeout();
        if (isVoter(identity)) {
            stand(now, true);
        } else {
            leader = Optional.empty();
            formation.ask(header(), role != Role.UNFORMED, Memberships.addresses(log.membership()), out);
        }
    }

    private void stand(long now, boolean trial) {
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
                askForVote(voter, trial);
            }
        }
        countVotes(now);
    }

    private void askForVote(Voter voter, boolean trial) {
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
        if (!belongs(header)) {
            return;
        }
        boolean leaderHeard = now - leaderHeardAt < ELECTION_SHORTEST || role == Role.LEADER;
        boolean upToDate = request.getLastTerm() > log.lastTerm()
                || request.getLastTerm() == log.lastTerm() && request.getLastIndex() >= log.lastIndex();
        if (leaderHeard) {
            answerVote(from, header.getTerm(), false, request.getTrial());
            return;
        }
        if (!request.getTrial() && header.getTerm() > term) {
            becomeFollower(now, header.getTerm(), Optional.empty());
        }
        boolean free = request.getTrial()
                ? header.getTerm() > term
                : header.getTerm() == term
                        && (votedFor.isEmpty() || votedFor.equals(String.valueOf(header.getIdentity())));
        boolean granted = free && upToDate && role != Role.LEADER;
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
        if (!belongs(header) || !isVoter(header.getIdentity())) {
            return;
        }
        Role asked = answer.getTrial() ? Role.TRIAL : Role.CANDIDATE;
        long askedTerm = answer.getTrial() ? term + 1 : term;
        if (answer.getGranted() && role == asked && header.getTerm() == askedTerm) {
            votes.add(header.getIdentity());
            countVotes(now);
        } else if (!answer.getGranted() && header.getTerm() > term && !answer.getTrial()) {
            becomeFollower(now, header.getTerm(), Optional.empty());
        }
    }

    private void countVotes(long now) {
        long counted = votes.stream().filter(this::isVoter).count();
        if (counted < Memberships.quorum(log.membership())) {
            return;
        }
        if (role == Role.TRIAL) {
            stand(now, false);
        } else if (role == Role.CANDIDATE) {
            becomeLeader(now);
        }
    }

    private void becomeLeader(long now) {
        role = Role.LEADER;
        leader = Optional.of(settings.self());
        ledSince = now;
        clockAtLead = log.lastClock();
        peers.clear();
        reads.clear();
        peers.sync(log.membership(), log.lastIndex(), now);
        termStart = log.lastIndex() + 1;
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
            reads.clear();
            electionDue = now + electionTimeout();
        }
    }

    /**
     * Whether a message is of this replica's cluster and meant for it. Failure this guards against: a disk is replaced,
     * and the leader goes on writing to the address for the identity that died with the old one. The new identity would
     * follow without being a member, never ask to join, and its log would never be counted.
     */
    private boolean belongs(ReplicaHeader header) {
        boolean meant = header.getTarget() == 0 || header.getTarget() == identity;
        if (!header.getGroup().equals(settings.group()) || header.getCluster() == 0 || !meant) {
            return false;
        }
        if (cluster == 0) {
            cluster = header.getCluster();
            role = Role.FOLLOWER;
            saveHardState();
        }
        return cluster == header.getCluster();
    }

    // ---- following
    // -----------------------------------------------------------------------------------------------

    private boolean followsSender(long now, Address from, ReplicaHeader header) {
        if (!belongs(header) || header.getTerm() < term) {
            return false;
        }
        invariants.check(
                role != Role.LEADER || header.getTerm() > term,
                "one-leader-in-a-term",
                () -> settings.group() + " has two leaders in term " + term);
        becomeFollower(now, header.getTerm(), Optional.of(from));
        leaderHeardAt = now;
        electionDue = now + electionTimeout();
        return true;
    }

    private void onAppend(long now, Address from, AppendRequest request) {
        if (!followsSender(now, from, request.getHeader())) {
            if (cluster == request.getHeader().getCluster()
                    && request.getHeader().getTerm() < term) {
                answerAppend(from, false, log.lastIndex(), request.getRound());
            }
            return;
        }
        long previous = request.getPreviousIndex();
        boolean matches = previous < log.firstIndex() - 1
                || log.term(previous)
                        .filter(held -> held == request.getPreviousTerm())
                        .isPresent();
        if (!matches) {
            long hint = Math.min(previous - 1, log.lastIndex());
            answerAppend(from, false, Math.max(hint, commit), request.getRound());
            return;
        }
        for (LogEntry entry : request.getEntriesList()) {
            takeEntry(entry);
        }
        long matched = previous + request.getEntriesCount();
        commit = Math.max(commit, Math.min(request.getCommit(), matched));
        answerAppend(from, true, matched, request.getRound());
    }

    private void takeEntry(LogEntry entry) {
        if (entry.getIndex() < log.firstIndex()) {
            return;
        }
        Optional<Long> held = log.term(entry.getIndex());
        if (held.isPresent() && held.get() == entry.getTerm()) {
            return;
        }
        if (held.isPresent()) {
            invariants.check(
                    entry.getIndex() > commit,
                    "committed-entries-stay",
                    () -> settings.group() + " would replace committed entry " + entry.getIndex());
            log.cutFrom(entry.getIndex());
            durability.cutFrom(entry.getIndex());
            durability.save(LogRecord.newBuilder().setCutFrom(entry.getIndex()));
        }
        append(entry);
    }

    private void answerAppend(Address to, boolean matched, long index, long answeredRound) {
        AppendAnswer answer = AppendAnswer.newBuilder()
                .setHeader(header())
                .setMatched(matched)
                .setIndex(index)
                .setRound(answeredRound)
                .build();
        durability.sendWhenDurable(to, Envelope.newBuilder().setAppendAnswer(answer));
    }

    private void onSnapshot(long now, Address from, SnapshotPart part) {
        if (!followsSender(now, from, part.getHeader())) {
            // A leader of an older term must hear of the newer one: it would go on sending what is never followed.
            if (cluster == part.getHeader().getCluster() && part.getHeader().getTerm() < term) {
                answerSnapshot(from, 0, part.getRound());
            }
            return;
        }
        Snapshot snapshot = part.getSnapshot();
        if (snapshot.getIndex() > commit) {
            if (snapshot.getIndex() < log.lastIndex()) {
                durability.cutFrom(snapshot.getIndex() + 1);
            }
            load(snapshot);
            durability.save(LogRecord.newBuilder().setSnapshot(snapshot));
            for (long index = log.firstIndex(); index <= log.lastIndex(); index++) {
                durability.save(LogRecord.newBuilder().setEntry(log.get(index)));
            }
        }
        answerSnapshot(from, snapshot.getIndex(), part.getRound());
    }

    private void answerSnapshot(Address to, long index, long answeredRound) {
        SnapshotAnswer answer = SnapshotAnswer.newBuilder()
                .setHeader(header())
                .setIndex(index)
                .setRound(answeredRound)
                .build();
        durability.sendWhenDurable(to, Envelope.newBuilder().setSnapshotAnswer(answer));
    }

    // ---- leading
    // -------------------------------------------------------------------------------------------------

    private void lead(long now, Outbox out) {
        boolean lost = now - peers.leaseStart(now) > ELECTION_SHORTEST + ELECTION_SPREAD;
        if (lost && now - ledSince > ELECTION_SHORTEST + ELECTION_SPREAD) {
            becomeFollower(now, term, Optional.empty());
            return;
        }
        boolean readDue = reads.needsRoundAfter(peers.round());
        if (now >= nextHeartbeat || readDue) {
            nextHeartbeat = now + HEARTBEAT;
            peers.startRound(now);
            mendMembership(now);
            peers.all().forEach(peer -> sendTo(now, peer, out));
        } else if (appendDue) {
            peers.all().forEach(peer -> sendNew(now, peer, out));
        }
        appendDue = false;
        advanceCommit();
        confirmReads();
    }

    private void sendNew(long now, Peer peer, Outbox out) {
        if (peer.next <= log.lastIndex() && now - peer.heardAt < ELECTION_SHORTEST) {
            sendTo(now, peer, out);
        }
    }

    private void sendTo(long now, Peer peer, Outbox out) {
        if (peers.isReplaced(peer)) {
            return;
        }
        if (peer.next <= log.lastIndex() && peer.next > peer.match + 1 && now - peer.sentAt > RESEND_AFTER) {
            peer.next = peer.match + 1;
        }
        if (peer.next < log.firstIndex() || log.term(peer.next - 1).isEmpty()) {
            sendSnapshot(now, peer, out);
            return;
        }
        List<LogEntry> entries = log.from(peer.next, MOST_ENTRIES, MOST_BYTES);
        AppendRequest request = AppendRequest.newBuilder()
                .setHeader(headerTo(peer.identity))
                .setPreviousIndex(peer.next - 1)
                .setPreviousTerm(log.term(peer.next - 1).orElseThrow())
                .addAllEntries(entries)
                .setCommit(settledCommit())
                .setRound(peers.round())
                .build();
        if (!entries.isEmpty()) {
            peer.sentAt = now;
        }
        peer.next += entries.size();
        out.send(peer.address, Envelope.newBuilder().setAppendRequest(request));
    }

    private void sendSnapshot(long now, Peer peer, Outbox out) {
        if (now - peer.sentAt < RESEND_AFTER && peer.sentAt != 0) {
            return;
        }
        peer.sentAt = now;
        SnapshotPart part = SnapshotPart.newBuilder()
                .setHeader(headerTo(peer.identity))
                .setSnapshot(log.snapshot())
                .setRound(peers.round())
                .build();
        out.send(peer.address, Envelope.newBuilder().setSnapshotPart(part));
    }

    private Optional<Peer> answeringPeer(long now, ReplicaHeader header, long answeredRound) {
        if (!belongs(header)) {
            return Optional.empty();
        }
        if (header.getTerm() > term) {
            becomeFollower(now, header.getTerm(), Optional.empty());
        }
        Optional<Peer> peer = peers.peer(header.getIdentity());
        if (role != Role.LEADER || peer.isEmpty() || header.getTerm() != term) {
            return Optional.empty();
        }
        peers.answered(peer.get(), answeredRound, now);
        return peer;
    }

    private void onAppendAnswer(long now, AppendAnswer answer) {
        Optional<Peer> found = answeringPeer(now, answer.getHeader(), answer.getRound());
        if (found.isEmpty()) {
            return;
        }
        Peer peer = found.get();
        if (answer.getMatched()) {
            peer.match = Math.max(peer.match, answer.getIndex());
            peer.next = Math.max(peer.next, peer.match + 1);
            advanceCommit();
        } else {
            peer.next = Math.max(peer.match, Math.min(peer.next - 1, answer.getIndex())) + 1;
        }
        appendDue |= peer.next <= log.lastIndex();
        confirmReads();
    }

    private void onSnapshotAnswer(long now, SnapshotAnswer answer) {
        answeringPeer(now, answer.getHeader(), answer.getRound()).ifPresent(peer -> {
            peer.match = Math.max(peer.match, answer.getIndex());
            peer.next = Math.max(peer.next, peer.match + 1);
            appendDue = true;
            advanceCommit();
        });
    }

    private void confirmReads() {
        if (applied >= termStart && applied >= commit) {
            reads.reached(peers.quorumRound());
        }
    }

    private void advanceCommit() {
        if (role != Role.LEADER) {
            return;
        }
        long reached = peers.quorumMatch(durability.durableIndex());
        boolean ownTerm = log.term(reached).filter(held -> held == term).isPresent();
        if (reached > commit && ownTerm) {
            commit = reached;
        }
    }

    // ---- the log and the machine
    // ---------------------------------------------------------------------------------

    private void append(LogEntry entry) {
        log.append(entry);
        durability.save(LogRecord.newBuilder().setEntry(entry));
    }

    private void saveHardState() {
        HardState state = HardState.newBuilder()
                .setCluster(cluster)
                .setIdentity(identity)
                .setTerm(term)
                .setVotedFor(votedFor)
                .setCommit(settings.recordsCommit() ? commit : 0)
                .build();
        savedCommit = commit;
        durability.save(LogRecord.newBuilder().setHardState(state));
    }

    private void load(Snapshot snapshot) {
        log.restore(snapshot);
        machine.load(snapshot.getState());
        commit = Math.max(commit, snapshot.getIndex());
        applied = snapshot.getIndex();
    }

    private void applyCommitted() {
        while (applied < settledCommit() && log.holds(applied + 1)) {
            applied++;
            machine.apply(log.get(applied));
        }
        confirmReads();
    }

    /** What may be applied and told: in a group that records its commit, what is durably known to be committed. */
    private long settledCommit() {
        return settings.recordsCommit() ? Math.min(commit, durability.durableCommit()) : commit;
    }

    private void compactIfLong() {
        if (applied - log.snapshot().getIndex() < ENTRIES_BEFORE_SNAPSHOT) {
            return;
        }
        Snapshot snapshot = Snapshot.newBuilder()
                .setIndex(applied)
                .setTerm(log.term(applied).orElseThrow())
                .setMembership(log.membershipBefore(applied + 1))
                .setState(machine.save())
                .setClockMs(log.clock(applied))
                .build();
        log.compact(snapshot, ENTRIES_KEPT);
        durability.save(LogRecord.newBuilder().setSnapshot(snapshot));
    }

    private ReplicaHeader headerTo(long target) {
        return header().toBuilder().setTarget(target).build();
    }

    private ReplicaHeader header() {
        return ReplicaHeader.newBuilder()
                .setGroup(settings.group())
                .setCluster(cluster)
                .setTerm(term)
                .setIdentity(identity)
                .build();
    }

    private long electionTimeout() {
        return ELECTION_SHORTEST + random.nextLong(ELECTION_SPREAD);
    }
}
