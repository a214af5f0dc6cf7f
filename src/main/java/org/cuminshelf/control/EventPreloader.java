package org.cuminshelf.control;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.config.EventConfig;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderPlaced;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.replica.Replica;

/**
 * Orders engines to load models and adapters before an event starts.
 *
 * <p>The bandwidth of the weight store is limited, so only a few loads run concurrently, and loading begins early
 * enough to finish before the start. A load does not take the engine out of service and does not wait for running
 * attempts.
 */
final class EventPreloader {

    private static final long CHECK_INTERVAL_NANOS = Durations.nanos(1_000);
    /** Time before the start of an event at which its loads begin. */
    private static final long LOAD_LEAD_MILLIS = 30L * 60 * 1_000;

    /** Time after the start of an event for which loads continue, so that replaced engines are loaded too. */
    private static final long LOAD_DURATION_MILLIS = 24L * 60 * 60 * 1_000;

    /** Maximum number of loads from the weight store at a time. */
    private static final int MAX_CONCURRENT_LOADS = 2;

    private static final String AUTHOR_PREFIX = "event ";

    private final Replica replica;
    private final RegionStateMachine machine;
    private final SidecarDirectory directory;
    private long nextCheck;

    EventPreloader(Replica replica, RegionStateMachine machine, SidecarDirectory directory) {
        this.replica = replica;
        this.machine = machine;
        this.directory = directory;
    }

    /** Orders loads that are due; {@code wallMillis} is the wall clock in Unix milliseconds, 0 if unknown. */
    void tick(long now, long wallMillis, FleetConfig config) {
        if (now < nextCheck || wallMillis == 0 || !replica.hasLease(now)) {
            return;
        }
        nextCheck = now + CHECK_INTERVAL_NANOS;
        for (var event : config.events().entrySet()) {
            long untilStart = event.getValue().start().toInstant().toEpochMilli() - wallMillis;
            if (untilStart <= LOAD_LEAD_MILLIS && untilStart >= -LOAD_DURATION_MILLIS) {
                loadForEvent(now, event.getKey(), event.getValue());
            }
        }
    }

    private void loadForEvent(long now, String name, EventConfig event) {
        for (String model : event.models().orElse(List.of())) {
            loadWhereMissing(
                    now, name, event, OrderBody.newBuilder().setLoadModel(model).build());
        }
        for (String adapter : event.adapters().orElse(List.of())) {
            loadWhereMissing(
                    now,
                    name,
                    event,
                    OrderBody.newBuilder().setLoadAdapter(adapter).build());
        }
    }

    private void loadWhereMissing(long now, String name, EventConfig event, OrderBody body) {
        int wanted = event.engines().orElse(Integer.MAX_VALUE);
        long loaded = directory.upstreams().stream()
                .filter(upstream -> isLoaded(upstream, body))
                .count();
        for (SidecarDirectory.AnnouncedUpstream upstream : directory.upstreams()) {
            if (loaded >= wanted || pendingLoads() >= MAX_CONCURRENT_LOADS) {
                return;
            }
            if (canLoad(upstream, body)) {
                proposeOrder(now, name, upstream.member.getAddress(), body);
                // The order counts as pending only once it is committed, so at most one is proposed per check.
                return;
            }
        }
    }

    private long pendingLoads() {
        return machine.pendingOrders().stream()
                .map(Order::getBody)
                .filter(body -> body.hasLoadModel() || body.hasLoadAdapter())
                .count();
    }

    private static boolean isEngine(SidecarDirectory.AnnouncedUpstream upstream) {
        return upstream.member.getKind() == UpstreamKind.UPSTREAM_ENGINE
                && !upstream.member.getGone()
                && !upstream.member.getLeaving();
    }

    private static boolean isLoaded(SidecarDirectory.AnnouncedUpstream upstream, OrderBody body) {
        boolean listed = body.hasLoadModel()
                ? upstream.member.getModelsList().contains(body.getLoadModel())
                : upstream.member.getAdaptersList().contains(body.getLoadAdapter());
        return isEngine(upstream) && listed;
    }

    private boolean canLoad(SidecarDirectory.AnnouncedUpstream upstream, OrderBody body) {
        return isEngine(upstream)
                && !isLoaded(upstream, body)
                && machine.pendingOrder(upstream.member.getAddress()).isEmpty();
    }

    private void proposeOrder(long now, String name, String engine, OrderBody body) {
        Optional<Long> incarnation = machine.incarnation(engine);
        if (incarnation.isPresent()) {
            OrderPlaced order = OrderPlaced.newBuilder()
                    .setEngine(engine)
                    .setIncarnation(incarnation.get())
                    .setBody(body)
                    .setAuthor(AUTHOR_PREFIX + name)
                    .build();
            replica.propose(now, LogEntry.newBuilder().setOrder(order));
        }
    }
}
