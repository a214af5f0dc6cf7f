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
 * The rate limits that upstream instances advertise on requests from all VMs together, and this entry's share of each.
 *
 * <p>Without a shared limit an overloaded upstream that advertises how much it accepts would still receive each entry's
 * usual traffic, or as much from each entry as it accepts from all of them. So each entry takes a share of the limit in
 * proportion to its share of all calls for the service, which entries report to each other. Shares that are calculated
 * from old reports may for a moment add up to slightly more or less than the limit. The share of an entry that has
 * stopped is redistributed once its reports expire.
 */
public final class UpstreamRateLimits {

    /**
     * A change of an upstream's limit.
     *
     * @param before requests per second before the change; empty if there was no limit
     * @param after  requests per second from now on; empty if there is no limit
     */
    public record LimitChange(OptionalDouble before, OptionalDouble after) {}

    /**
     * A limit that an upstream advertised to this entry, for the other entries.
     *
     * @param instanceId identity of the upstream instance
     * @param perSecond  requests per second that it accepts; empty if it no longer advertises a limit
     * @param ageNanos   nanoseconds since this was known to hold
     */
    public record LimitReport(String instanceId, OptionalDouble perSecond, long ageNanos) {}

    /**
     * The rate of calls at one entry, for the other entries.
     *
     * @param service   the service that the calls are for
     * @param perSecond calls per second
     */
    public record CallRateReport(String service, double perSecond) {}

    private static final long SHARE_UPDATE_INTERVAL_NANOS = Durations.nanos(100);
    /** Time for which the removal of a limit is reported, so that several reports reach each entry. */
    private static final long REMOVAL_REPORT_PERIOD_NANOS = Durations.nanos(2_000);
    /**
     * Time that a report from another entry is assumed to have been in transit. Its state counts as older by this, so
     * that what this entry received itself takes precedence over a report of the same time.
     */
    private static final long ASSUMED_REPORT_DELAY_NANOS = Durations.nanos(50);
    /**
     * Time without a report or a request after which an instance is removed; a running one is reported four times a
     * second.
     */
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
     * Creates an empty table.
     *
     * @param self the address of this entry, as the other entries know it
     * @return the table
     */
    public static UpstreamRateLimits create(Address self) {
        return new UpstreamRateLimits(self);
    }

    /**
     * Counts a call.
     *
     * @param now     the time in nanoseconds
     * @param service the service that the call is for
     */
    public void onCall(long now, String service) {
        callRatesOf(now, service).local().onCall(now);
    }

    /**
     * Processes the limit in an answer. An answer without a limit removes the known limit only if its request was sent
     * after that limit was last received: answers may arrive out of order, and the head of a long stream was written
     * earlier.
     *
     * @param now        when the answer was received, in nanoseconds
     * @param instanceId identity of the upstream instance that sent it
     * @param service    the service of the upstream
     * @param sentAt     when the request was sent, in nanoseconds
     * @param advertised the limit in the answer
     * @return the change of the limit, if it changed
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
     * Processes a limit that another entry received from an upstream.
     *
     * @param now     the time in nanoseconds
     * @param service the service of the upstream
     * @param report  the report of the other entry
     * @return the change of the limit, if it changed
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
     * Processes the rate of calls at another entry.
     *
     * @param now    the time in nanoseconds
     * @param entry  the other entry
     * @param report its report
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
     * Checks whether an upstream advertises a limit now.
     *
     * @param instanceId identity of the upstream instance
     * @return true if it does
     */
    public boolean isLimited(String instanceId) {
        UpstreamRateLimit limit = limits.get(instanceId);
        return limit != null && limit.perSecond().isPresent();
    }

    /**
     * Returns the earliest time at which the limit allows a request to an upstream.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     * @return a time in nanoseconds, not after {@code now} if a request may be sent now; {@link Long#MIN_VALUE} without
     *         a limit
     */
    public long nextPermitTime(long now, String instanceId) {
        UpstreamRateLimit limit = limits.get(instanceId);
        return limit == null ? Long.MIN_VALUE : limit.nextPermitTime(now);
    }

    /**
     * Checks whether the limit allows a request to an upstream now.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     * @return true if it does
     */
    public boolean hasPermit(long now, String instanceId) {
        return nextPermitTime(now, instanceId) <= now;
    }

    /**
     * Takes a permit, for a request that is sent now or to reserve it for a later one.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     */
    public void takePermit(long now, String instanceId) {
        Optional.ofNullable(limits.get(instanceId)).ifPresent(limit -> limit.takePermit(now));
    }

    /**
     * Returns a reserved permit that was not used.
     *
     * @param instanceId identity of the upstream instance
     */
    public void returnPermit(String instanceId) {
        Optional.ofNullable(limits.get(instanceId)).ifPresent(UpstreamRateLimit::returnPermit);
    }

    /**
     * Recalculates this entry's shares and removes idle instances.
     *
     * @param now          the time in nanoseconds
     * @param knownEntries all entries that are known, including this one
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
     * Returns the limits to report to the other entries: those that upstreams advertised to this entry, and for a while
     * the removal of a limit.
     *
     * @param now the time in nanoseconds
     * @return the latest state of each upstream instance
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
     * Returns the rates of calls at this entry for the services of which an upstream advertises a limit.
     *
     * @param now the time in nanoseconds
     * @return calls per second for each of these services
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
     * Counts the upstream instances that advertise a limit now.
     *
     * @return their number
     */
    public long activeCount() {
        return limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .count();
    }
}
