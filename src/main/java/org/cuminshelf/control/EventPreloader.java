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
 * Has models and adapters loaded before an event opens.
 *
 * <p>The weight store gives only so much at once, so that few loads run at a time; what is loaded early enough is there
 * at the hour. Loads take no engine away and wait for no attempts.
 */
final class EventPreloader {

    private static final long LOOK_EVERY = Durations.nanos(1_000);
    /** How long before its start an event's loads begin. */
    private static final long LEAD_MILLIS = 30L * 60 * 1_000;

    /** How long after its start an event still has its engines loaded, for those that are replaced. */
    private static final long LASTS_MILLIS = 24L * 60 * 60 * 1_000;

    /** Loads from the weight store at once. */
    private static final int LOADS_AT_ONCE = 2;

    private static final String AUTHOR_PREFIX = "event ";

    private final Replica replica;
    private final RegionStateMachine machine;
    private final SidecarDirectory directory;
    private long nextLook;

    EventPreloader(Replica replica, RegionStateMachine machine, SidecarDirectory directory) {
        this.replica = replica;
        this.machine = machine;
        this.directory = directory;
    }

    /** Looks for loads that are due; the wall clock is in milliseconds since 1970, 0 where it is not known. */
    void tick(long now, long wallMillis, FleetConfig config) {
        if (now < nextLook || wallMillis == 0 || !replica.hasLease(now)) {
            return;
        }
        nextLook = now + LOOK_EVERY;
        for (var event : config.events().entrySet()) {
            long untilStart = event.getValue().start().toInstant().toEpochMilli() - wallMillis;
            if (untilStart <= LEAD_MILLIS && untilStart >= -LASTS_MILLIS) {
                prepare(now, event.getKey(), event.getValue());
            }
        }
    }

    private void prepare(long now, String name, EventConfig event) {
        for (String model : event.models().orElse(List.of())) {
            load(now, name, event, OrderBody.newBuilder().setLoadModel(model).build());
        }
        for (String adapter : event.adapters().orElse(List.of())) {
            load(
                    now,
                    name,
                    event,
                    OrderBody.newBuilder().setLoadAdapter(adapter).build());
        }
    }

    private void load(long now, String name, EventConfig event, OrderBody body) {
        int wanted = event.engines().orElse(Integer.MAX_VALUE);
        long loaded = directory.rows().stream().filter(row -> holds(row, body)).count();
        for (SidecarDirectory.Row row : directory.rows()) {
            if (loaded >= wanted || pendingLoads() >= LOADS_AT_ONCE) {
                return;
            }
            if (canLoad(row, body)) {
                place(now, name, row.member.getAddress(), body);
                // The order stands in the log only once it is committed; the next look sees it.
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

    private static boolean isEngine(SidecarDirectory.Row row) {
        return row.member.getKind() == UpstreamKind.UPSTREAM_ENGINE
                && !row.member.getGone()
                && !row.member.getLeaving();
    }

    private static boolean holds(SidecarDirectory.Row row, OrderBody body) {
        boolean held = body.hasLoadModel()
                ? row.member.getModelsList().contains(body.getLoadModel())
                : row.member.getAdaptersList().contains(body.getLoadAdapter());
        return isEngine(row) && held;
    }

    private boolean canLoad(SidecarDirectory.Row row, OrderBody body) {
        return isEngine(row)
                && !holds(row, body)
                && machine.pendingOrder(row.member.getAddress()).isEmpty();
    }

    private void place(long now, String name, String engine, OrderBody body) {
        Optional<Long> incarnation = machine.incarnation(engine);
        if (incarnation.isPresent()) {
            OrderPlaced placed = OrderPlaced.newBuilder()
                    .setEngine(engine)
                    .setIncarnation(incarnation.get())
                    .setBody(body)
                    .setAuthor(AUTHOR_PREFIX + name)
                    .build();
            replica.propose(now, LogEntry.newBuilder().setOrder(placed));
        }
    }
}
