package org.cuminshelf.shares;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminshelf.core.Durations;

/**
 * Shares of one service's calls that are sent, by kind and by organisation, as one entry observes them.
 *
 * <p>Applies to demand beyond the capacity of a service. Admission by cost and lateness alone serves the kind with the
 * largest prompts worst, also if it is the most urgent: on a heavy day it got 0.74 of its value and less urgent kinds
 * up to 1.0. Here less urgent kinds yield while a more urgent one loses a part of its calls, and no kind or
 * organisation is left below half of what all get.
 *
 * <p>Kinds are told apart only where they have different priorities. The state is bounded and is lost with the process.
 */
public final class ServiceShares {

    /** Share of the service's share below which a group is owed: a group above is served within its callers' retry. */
    private static final double OWED_SHARE = 0.5;
    /** The same for organisations, whose few calls at an entry make their shares lag behind, so that half is kept. */
    private static final double OWED_ORGANISATION_SHARE = 0.6;
    /** The same below which no kind yields, so that those that yield do not become owed. */
    private static final double MIN_YIELDING_SHARE = 0.7;
    /**
     * Part of a kind's requests beyond whose loss less urgent kinds yield; also the difference of the shares of two
     * kinds beyond which one is behind the other.
     */
    private static final double MAX_DEFICIT = 0.05;
    /** The same of the value of tries: some of what is lost at the first try is made good by the second. */
    private static final double MAX_VALUE_DEFICIT = 0.15;
    /**
     * Part of the slack of more urgent calls up to which less urgent ones may fill the queues. With nearly empty queues
     * the less urgent calls would be refused while capacity is left, and the others would gain hardly anything.
     */
    private static final double QUEUE_SLACK_SHARE = 0.5;
    /** Calls of a group with a known outcome below which it is neutral. */
    private static final int MIN_KNOWN_CALLS = 10;
    /**
     * Calls, assumed to be served like all of the service, that are added to a kind before it is compared with others.
     * With ten, a single refused call of usual value is not a deficit.
     */
    private static final double COMPARISON_PRIOR_CALLS = 10;
    /** The same before a group is compared with half of the service's share: there the distance is greater. */
    private static final double FLOOR_PRIOR_CALLS = 3;
    /** The same, assumed to be answered, for all calls of the service. */
    private static final double OVERALL_PRIOR_CALLS = 1;
    /** Time constant of the shares of kinds: they follow a burst within a second or two. */
    private static final double KIND_WINDOW_NANOS = Durations.nanos(4_000);
    /** Time constant of the shares of organisations, of which an entry may see a call in ten seconds. */
    private static final double ORGANISATION_WINDOW_NANOS = Durations.nanos(60_000);
    /** Calls of a group over which its share is taken, if they are within the time constant. */
    private static final double WINDOW_CALLS = 30;
    /** Kinds that are kept: more than a service has routes and priorities. */
    static final int MAX_KINDS = 64;
    /** Organisations that are kept; those without calls for the longest time are dropped first. */
    static final int MAX_ORGANISATIONS = 256;

    private final Map<CallKind, ShareTally> kinds = new BoundedGroups<>(MAX_KINDS);
    private final Map<String, ShareTally> organisations = new BoundedGroups<>(MAX_ORGANISATIONS);
    private final ShareTally all = new ShareTally(KIND_WINDOW_NANOS, Double.POSITIVE_INFINITY);
    private final ShareTally allOfOrganisations = new ShareTally(ORGANISATION_WINDOW_NANOS, Double.POSITIVE_INFINITY);

    private ServiceShares() {}

    /**
     * Creates the shares of a service without known calls.
     *
     * @return the shares
     */
    public static ServiceShares create() {
        return new ServiceShares();
    }

    /**
     * Registers a call on its arrival.
     *
     * @param kind         its kind
     * @param organisation the name of its organisation, if it has one
     * @param value        the value of its answer, in usual answers
     * @return its claim, which must be notified of the outcome
     */
    public ShareClaim register(CallKind kind, Optional<String> organisation, double value) {
        ShareTally kindTally = kinds.computeIfAbsent(kind, key -> new ShareTally(KIND_WINDOW_NANOS, WINDOW_CALLS));
        Optional<ShareTally> organisationTally = organisation.map(name ->
                organisations.computeIfAbsent(name, key -> new ShareTally(ORGANISATION_WINDOW_NANOS, WINDOW_CALLS)));
        List<ShareTally> tallies = new ArrayList<>(List.of(all, kindTally));
        organisationTally.ifPresent(tally -> tallies.addAll(List.of(allOfOrganisations, tally)));
        return new ShareClaim(this, kind, kindTally, organisationTally, tallies, value);
    }

    /**
     * Returns the number of groups that are kept.
     *
     * @return kinds and organisations together
     */
    public int groupCount() {
        return kinds.size() + organisations.size();
    }

    Standing standing(long now, CallKind kind, ShareTally kindTally, Optional<ShareTally> organisationTally) {
        Optional<Standing> owed =
                organisationTally.flatMap(tally -> owed(now, tally, allOfOrganisations, OWED_ORGANISATION_SHARE));
        return owed.orElseGet(() -> standingOfKind(now, kind, kindTally));
    }

    private Standing standingOfKind(long now, CallKind kind, ShareTally tally) {
        double share = tally.share(now, overallShare(now, all), FLOOR_PRIOR_CALLS);
        boolean hasOtherPriorities = kinds.keySet().stream().anyMatch(other -> other.priority() != kind.priority());
        if (!hasOtherPriorities || !isKnown(tally)) {
            return new Standing.Neutral(share);
        }
        Optional<Standing> owed = owed(now, tally, all, OWED_SHARE);
        if (owed.isPresent()) {
            return owed.get();
        }
        OptionalDouble maxQueueMillis = maxQueueMillis(now, kind, tally);
        if (maxQueueMillis.isPresent()) {
            boolean mayYield = ofRequests(share) >= MIN_YIELDING_SHARE * ofRequests(overallShare(now, all));
            return mayYield ? new Standing.Yielding(share, maxQueueMillis.getAsDouble()) : new Standing.Neutral(share);
        }
        return isBehindAny(now, kind, tally) ? new Standing.Preferred(share) : new Standing.Neutral(share);
    }

    private static Optional<Standing> owed(long now, ShareTally tally, ShareTally overall, double minShare) {
        double overallShare = overallShare(now, overall);
        double share = tally.share(now, overallShare, FLOOR_PRIOR_CALLS);
        return isKnown(tally) && ofRequests(share) < minShare * ofRequests(overallShare)
                ? Optional.of(new Standing.Owed(share))
                : Optional.empty();
    }

    private static boolean isKnown(ShareTally tally) {
        return tally.totalCalls() >= MIN_KNOWN_CALLS;
    }

    /**
     * Returns the prefill queue up to which a kind hardly hinders the more urgent ones that lose a part of their
     * calls, in milliseconds; empty if none does. The more of them there are, the shorter it is, so that the least
     * urgent kind is held first.
     */
    private OptionalDouble maxQueueMillis(long now, CallKind kind, ShareTally tally) {
        DoubleSummaryStatistics slacks = kinds.entrySet().stream()
                .filter(other -> other.getKey().isMoreUrgentThan(kind)
                        && losesCalls(now, other.getValue())
                        && !isAhead(now, other.getValue(), tally))
                .mapToDouble(other -> other.getValue().slackMillis())
                .summaryStatistics();
        return slacks.getCount() == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(QUEUE_SLACK_SHARE * slacks.getMin() / slacks.getCount());
    }

    private boolean losesCalls(long now, ShareTally tally) {
        return isKnown(tally)
                && (comparedShare(now, tally) < 1 - MAX_DEFICIT
                        || comparedValueShare(now, tally) < 1 - MAX_VALUE_DEFICIT);
    }

    /** Returns whether a kind already gets more than a less urgent one, of its calls and of their value. */
    private boolean isAhead(long now, ShareTally urgent, ShareTally lessUrgent) {
        return comparedShare(now, urgent) > comparedShare(now, lessUrgent)
                && comparedValueShare(now, urgent) > comparedValueShare(now, lessUrgent);
    }

    /** Returns whether a kind is behind a less urgent one. */
    private boolean isBehindAny(long now, CallKind kind, ShareTally tally) {
        return kinds.entrySet().stream()
                .anyMatch(other -> kind.isMoreUrgentThan(other.getKey()) && isBehind(now, tally, other.getValue()));
    }

    private boolean isBehind(long now, ShareTally urgent, ShareTally lessUrgent) {
        return isKnown(lessUrgent)
                && (comparedShare(now, lessUrgent) - comparedShare(now, urgent) > MAX_DEFICIT
                        || comparedValueShare(now, lessUrgent) - comparedValueShare(now, urgent) > MAX_VALUE_DEFICIT);
    }

    private double comparedShare(long now, ShareTally tally) {
        return ofRequests(tally.share(now, overallShare(now, all), COMPARISON_PRIOR_CALLS));
    }

    private double comparedValueShare(long now, ShareTally tally) {
        double prior = all.valueShare(now, 1, OVERALL_PRIOR_CALLS);
        return tally.valueShare(now, prior, COMPARISON_PRIOR_CALLS);
    }

    /**
     * Returns the share of requests that are served within one retry of their callers, given the share of tries. With
     * half of the tries sent, three quarters of the requests are served.
     */
    private static double ofRequests(double shareOfTries) {
        return shareOfTries * (2 - shareOfTries);
    }

    private static double overallShare(long now, ShareTally overall) {
        return overall.share(now, 1, OVERALL_PRIOR_CALLS);
    }
}
