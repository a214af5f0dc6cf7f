package org.cuminshelf.backpressure;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/**
 * The limits that upstreams state on requests from all VMs together, by the identity of their starts, and the part of
 * each that this entry may use.
 *
 * <p>Failure it guards against: an upstream in need says how much it can take, and each entry goes on as before, or
 * sends as much by itself as the upstream takes from all. Each entry takes the part of the limit that it has of all
 * calls for the service, by what entries tell each other. Parts that rest on old news add up to a little more or less
 * than the limit for a moment; the permits of one that is gone come free once it tells nothing any more.
 */
public final class RateLimits {

    /**
     * What changed for an upstream.
     *
     * @param before requests a second before, empty where there was no limit
     * @param after  requests a second from now on, empty where there is no limit any more
     */
    public record Change(OptionalDouble before, OptionalDouble after) {}

    /**
     * What this entry heard from an upstream, for the other entries.
     *
     * @param start     identity of the upstream's start
     * @param perSecond requests a second that it takes, empty once it names no limit any more
     * @param ageNanos  how long ago that was known to hold
     */
    public record Heard(String start, OptionalDouble perSecond, long ageNanos) {}

    /**
     * Calls at this entry, for the other entries.
     *
     * @param service   the service that they are for
     * @param perSecond calls a second
     */
    public record Demand(String service, double perSecond) {}

    private static final long SHARE_EVERY = Durations.nanos(100);
    /** Time for which the end of a limit is told: each entry hears of it several times. */
    private static final long END_TOLD = Durations.nanos(2_000);
    /**
     * Time that news of another entry may have taken. It counts as older by it, so that an entry's own word goes first
     * where both are of one moment.
     */
    private static final long NEWS_DELAY = Durations.nanos(50);
    /** Time without any news after which a start is forgotten; one that lives is spoken of four times a second. */
    private static final long KEPT = Durations.nanos(60_000);

    private final Address self;
    private final Map<String, RateLimit> limits = new HashMap<>();
    private final Map<String, ServiceDemand> demands = new HashMap<>();
    private List<Address> entries = List.of();
    private long nextShare;

    private RateLimits(Address self) {
        this.self = self;
    }

    /**
     * Makes a table in which no upstream states a limit.
     *
     * @param self the address of this entry, as the others know it
     * @return the table
     */
    public static RateLimits none(Address self) {
        return new RateLimits(self);
    }

    /**
     * Takes note of a call.
     *
     * @param now     the time in nanoseconds
     * @param service the service that it is for
     */
    public void called(long now, String service) {
        demand(now, service).own().onCall(now);
    }

    /**
     * Takes what an answer says. One without a limit lifts a limit only if its request was sent after the limit was
     * last named: answers overtake each other, and the head of a long stream was written before.
     *
     * @param now     when it came, in nanoseconds
     * @param start   identity of the upstream's start that gave it
     * @param service the service of the upstream
     * @param sentAt  when its request was sent, in nanoseconds
     * @param stated  what it says
     * @return what changed, if anything
     */
    public Optional<Change> heard(long now, String start, String service, long sentAt, StatedLimit stated) {
        if (stated instanceof StatedLimit.PerSecond) {
            limits.computeIfAbsent(start, key -> new RateLimit(now, start, service));
        }
        RateLimit limit = limits.get(start);
        if (limit == null) {
            return Optional.empty();
        }
        OptionalDouble before = limit.perSecond();
        limit.heard(now, sentAt, stated);
        return change(now, limit, before);
    }

    /**
     * Takes what another entry heard from an upstream.
     *
     * @param now     the time in nanoseconds
     * @param service the service of the upstream
     * @param heard   what it heard
     * @return what changed, if anything
     */
    public Optional<Change> told(long now, String service, Heard heard) {
        if (heard.perSecond().isPresent()) {
            limits.computeIfAbsent(heard.start(), key -> new RateLimit(now, heard.start(), service));
        }
        RateLimit limit = limits.get(heard.start());
        if (limit == null) {
            return Optional.empty();
        }
        OptionalDouble before = limit.perSecond();
        limit.told(now, new RateLimit.Statement(heard.perSecond(), now - heard.ageNanos() - NEWS_DELAY));
        return change(now, limit, before);
    }

    /**
     * Takes how many calls another entry has.
     *
     * @param now    the time in nanoseconds
     * @param entry  the entry
     * @param demand what it told
     */
    public void told(long now, Address entry, Demand demand) {
        demand(now, demand.service()).told(now, entry, demand.perSecond());
    }

    private Optional<Change> change(long now, RateLimit limit, OptionalDouble before) {
        OptionalDouble after = limit.perSecond();
        if (before.equals(after)) {
            return Optional.empty();
        }
        share(now, limit);
        return Optional.of(new Change(before, after));
    }

    private ServiceDemand demand(long now, String service) {
        return demands.computeIfAbsent(service, key -> new ServiceDemand(now));
    }

    private void share(long now, RateLimit limit) {
        double part = demand(now, limit.service()).ownPart(now, self, entries);
        limit.share(now, part, self, entries);
    }

    /**
     * Tells whether an upstream states a limit now.
     *
     * @param start identity of its start
     * @return true if it does
     */
    public boolean isLimited(String start) {
        RateLimit limit = limits.get(start);
        return limit != null && limit.perSecond().isPresent();
    }

    /**
     * Tells when a request may be sent to an upstream.
     *
     * @param now   the time in nanoseconds
     * @param start identity of its start
     * @return a time in nanoseconds, not after {@code now} if one may be sent now
     */
    public long nextPermit(long now, String start) {
        RateLimit limit = limits.get(start);
        return limit == null ? Long.MIN_VALUE : limit.nextPermit(now);
    }

    /**
     * Tells whether a request may be sent to an upstream now.
     *
     * @param now   the time in nanoseconds
     * @param start identity of its start
     * @return true if it may
     */
    public boolean admits(long now, String start) {
        return nextPermit(now, start) <= now;
    }

    /**
     * Uses a permit, for a request that is sent, or to keep it for one that will be.
     *
     * @param now   the time in nanoseconds
     * @param start identity of the upstream's start
     */
    public void use(long now, String start) {
        Optional.ofNullable(limits.get(start)).ifPresent(limit -> limit.use(now));
    }

    /**
     * Takes back a permit that was kept.
     *
     * @param start identity of the upstream's start
     */
    public void giveBack(String start) {
        Optional.ofNullable(limits.get(start)).ifPresent(RateLimit::giveBack);
    }

    /**
     * Reckons parts anew and forgets starts that are gone.
     *
     * @param now   the time in nanoseconds
     * @param known all entries that are known, this one among them
     */
    public void tick(long now, List<Address> known) {
        entries = known;
        if (limits.isEmpty() || now < nextShare) {
            return;
        }
        nextShare = now + SHARE_EVERY;
        limits.values().removeIf(limit -> now - limit.usedAt() > KEPT);
        limits.values().forEach(limit -> share(now, limit));
    }

    /**
     * What the other entries should hear: what upstreams said to this one of their limits, and of the end of a limit
     * for a while.
     *
     * @param now the time in nanoseconds
     * @return the newest statement of each upstream
     */
    public List<Heard> heardHere(long now) {
        return limits.values().stream()
                .filter(RateLimit::isHeardDirectly)
                .filter(limit ->
                        limit.perSecond().isPresent() || now - limit.newest().at() < END_TOLD)
                .map(limit -> new Heard(
                        limit.start(), limit.perSecond(), now - limit.newest().at()))
                .toList();
    }

    /**
     * The calls at this entry for services of which an upstream states a limit.
     *
     * @param now the time in nanoseconds
     * @return calls a second of each such service
     */
    public Collection<Demand> demandsHere(long now) {
        Set<String> services = new HashSet<>();
        limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .forEach(limit -> services.add(limit.service()));
        return services.stream()
                .map(service -> new Demand(service, demand(now, service).own().perSecond(now)))
                .toList();
    }

    /**
     * Counts the upstreams that state a limit now.
     *
     * @return their number
     */
    public long inForce() {
        return limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .count();
    }
}
