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
public final class UpstreamRateLimits {

    /**
     * What changed for an upstream.
     *
     * @param before requests a second before, empty where there was no limit
     * @param after  requests a second from now on, empty where there is no limit any more
     */
    public record LimitChange(OptionalDouble before, OptionalDouble after) {}

    /**
     * What this entry heard from an upstream, for the other entries.
     *
     * @param instanceId     identity of the upstream's start
     * @param perSecond requests a second that it takes, empty once it names no limit any more
     * @param ageNanos  how long ago that was known to hold
     */
    public record LimitReport(String instanceId, OptionalDouble perSecond, long ageNanos) {}

    /**
     * Calls at this entry, for the other entries.
     *
     * @param service   the service that they are for
     * @param perSecond calls a second
     */
    public record CallRateReport(String service, double perSecond) {}

    private static final long SHARE_UPDATE_INTERVAL_NANOS = Durations.nanos(100);
    /** Time for which the end of a limit is told: each entry hears of it several times. */
    private static final long REMOVAL_REPORT_PERIOD_NANOS = Durations.nanos(2_000);
    /**
     * Time that news of another entry may have taken. It counts as older by it, so that an entry's own word goes first
     * where both are of one moment.
     */
    private static final long ASSUMED_REPORT_DELAY_NANOS = Durations.nanos(50);
    /** Time without any news after which a start is forgotten; one that lives is spoken of four times a second. */
    private static final long IDLE_RETENTION_NANOS = Durations.nanos(60_000);

    private final Address self;
    private final Map<String, UpstreamRateLimit> limits = new HashMap<>();
    private final Map<String, ServiceCallRates> callRates = new HashMap<>();
    private List<Address> entries = List.of();
    private long nextShareUpdate;

    private UpstreamRateLimits(Address self) {
        this.self = self;
    }

    /**
     * Makes a table in which no upstream states a limit.
     *
     * @param self the address of this entry, as the others know it
     * @return the table
     */
    public static UpstreamRateLimits create(Address self) {
        return new UpstreamRateLimits(self);
    }

    /**
     * Takes note of a call.
     *
     * @param now     the time in nanoseconds
     * @param service the service that it is for
     */
    public void onCall(long now, String service) {
        callRatesOf(now, service).local().onCall(now);
    }

    /**
     * Takes what an answer says. One without a limit lifts a limit only if its request was sent after the limit was
     * last named: answers overtake each other, and the head of a long stream was written before.
     *
     * @param now     when it came, in nanoseconds
     * @param instanceId   identity of the upstream's start that gave it
     * @param service the service of the upstream
     * @param sentAt  when its request was sent, in nanoseconds
     * @param advertised  what it says
     * @return what changed, if anything
     */
    public Optional<LimitChange> onAnswer(
            long now, String instanceId, String service, long sentAt, AdvertisedLimit advertised) {
        if (advertised instanceof AdvertisedLimit.PerSecond) {
            limits.computeIfAbsent(instanceId, key -> new UpstreamRateLimit(now, instanceId, service));
        }
        UpstreamRateLimit limit = limits.get(instanceId);
        if (limit == null) {
            return Optional.empty();
        }
        OptionalDouble before = limit.perSecond();
        limit.onAnswer(now, sentAt, advertised);
        return changeSince(now, limit, before);
    }

    /**
     * Takes what another entry heard from an upstream.
     *
     * @param now     the time in nanoseconds
     * @param service the service of the upstream
     * @param report   what it heard
     * @return what changed, if anything
     */
    public Optional<LimitChange> onRemoteReport(long now, String service, LimitReport report) {
        if (report.perSecond().isPresent()) {
            limits.computeIfAbsent(
                    report.instanceId(), key -> new UpstreamRateLimit(now, report.instanceId(), service));
        }
        UpstreamRateLimit limit = limits.get(report.instanceId());
        if (limit == null) {
            return Optional.empty();
        }
        OptionalDouble before = limit.perSecond();
        limit.onRemoteState(
                now,
                new UpstreamRateLimit.LimitState(
                        report.perSecond(), now - report.ageNanos() - ASSUMED_REPORT_DELAY_NANOS));
        return changeSince(now, limit, before);
    }

    /**
     * Takes how many calls another entry has.
     *
     * @param now    the time in nanoseconds
     * @param entry  the entry
     * @param report what it told
     */
    public void onRemoteReport(long now, Address entry, CallRateReport report) {
        callRatesOf(now, report.service()).onRemoteRate(now, entry, report.perSecond());
    }

    private Optional<LimitChange> changeSince(long now, UpstreamRateLimit limit, OptionalDouble before) {
        OptionalDouble after = limit.perSecond();
        if (before.equals(after)) {
            return Optional.empty();
        }
        updateShare(now, limit);
        return Optional.of(new LimitChange(before, after));
    }

    private ServiceCallRates callRatesOf(long now, String service) {
        return callRates.computeIfAbsent(service, key -> new ServiceCallRates(now));
    }

    private void updateShare(long now, UpstreamRateLimit limit) {
        double localShare = callRatesOf(now, limit.service()).localShare(now, self, entries);
        limit.applyShare(now, localShare, self, entries);
    }

    /**
     * Tells whether an upstream states a limit now.
     *
     * @param instanceId identity of its start
     * @return true if it does
     */
    public boolean isLimited(String instanceId) {
        UpstreamRateLimit limit = limits.get(instanceId);
        return limit != null && limit.perSecond().isPresent();
    }

    /**
     * Tells when a request may be sent to an upstream.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of its start
     * @return a time in nanoseconds, not after {@code now} if one may be sent now
     */
    public long nextPermitTime(long now, String instanceId) {
        UpstreamRateLimit limit = limits.get(instanceId);
        return limit == null ? Long.MIN_VALUE : limit.nextPermitTime(now);
    }

    /**
     * Tells whether a request may be sent to an upstream now.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of its start
     * @return true if it may
     */
    public boolean hasPermit(long now, String instanceId) {
        return nextPermitTime(now, instanceId) <= now;
    }

    /**
     * Uses a permit, for a request that is sent, or to keep it for one that will be.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of the upstream's start
     */
    public void takePermit(long now, String instanceId) {
        Optional.ofNullable(limits.get(instanceId)).ifPresent(limit -> limit.takePermit(now));
    }

    /**
     * Takes back a permit that was kept.
     *
     * @param instanceId identity of the upstream's start
     */
    public void returnPermit(String instanceId) {
        Optional.ofNullable(limits.get(instanceId)).ifPresent(UpstreamRateLimit::returnPermit);
    }

    /**
     * Reckons parts anew and forgets starts that are gone.
     *
     * @param now   the time in nanoseconds
     * @param knownEntries all entries that are known, this one among them
     */
    public void tick(long now, List<Address> knownEntries) {
        entries = knownEntries;
        if (limits.isEmpty() || now < nextShareUpdate) {
            return;
        }
        nextShareUpdate = now + SHARE_UPDATE_INTERVAL_NANOS;
        limits.values().removeIf(limit -> now - limit.lastActiveAt() > IDLE_RETENTION_NANOS);
        limits.values().forEach(limit -> updateShare(now, limit));
    }

    /**
     * What the other entries should hear: what upstreams said to this one of their limits, and of the end of a limit
     * for a while.
     *
     * @param now the time in nanoseconds
     * @return the newest statement of each upstream
     */
    public List<LimitReport> localLimitReports(long now) {
        return limits.values().stream()
                .filter(UpstreamRateLimit::isReceivedLocally)
                .filter(limit ->
                        limit.perSecond().isPresent() || now - limit.latest().validAt() < REMOVAL_REPORT_PERIOD_NANOS)
                .map(limit -> new LimitReport(
                        limit.instanceId(),
                        limit.perSecond(),
                        now - limit.latest().validAt()))
                .toList();
    }

    /**
     * The calls at this entry for services of which an upstream states a limit.
     *
     * @param now the time in nanoseconds
     * @return calls a second of each such service
     */
    public Collection<CallRateReport> localCallRateReports(long now) {
        Set<String> services = new HashSet<>();
        limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .forEach(limit -> services.add(limit.service()));
        return services.stream()
                .map(service -> new CallRateReport(
                        service, callRatesOf(now, service).local().perSecond(now)))
                .toList();
    }

    /**
     * Counts the upstreams that state a limit now.
     *
     * @return their number
     */
    public long activeCount() {
        return limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .count();
    }
}
