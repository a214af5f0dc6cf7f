package org.cuminshelf.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.planning.CumulativeDemand;

/** The processes that subscribe to this control process, and the work that entries were offered. */
final class SubscriberTable {

    private static final long LEASE_NANOS = Durations.nanos(4_000);

    /** A subscriber, and the versions it holds according to its last request. */
    static final class Subscriber {
        final Address address;
        long incarnation;
        /** Whether its last request is the first one that this process received from its incarnation. */
        boolean started;

        long lastReceivedAt;
        long configVersion;
        long directoryVersion;
        long directoryIncarnation;
        boolean wantsDirectory;
        String zone = "";
        /** Whether the subscriber fetches configuration bodies with a separate request. */
        boolean fetchesConfig;
        /** Hash of the list of entry addresses that the subscriber holds. */
        long entriesHash;
        /** Version of the subscriber's own poison data up to which this process has received all changes. */
        long receivedPoisonVersion;

        /** The subscriber's clock in nanoseconds when it sent its last request. */
        long requestClockNanos;

        /** Time in Unix microseconds at which the last request was received. */
        long receivedAtUnixMicros;
        /** Version of the subscriber's usage counts up to which this process has received all changes. */
        long receivedUsageVersion;

        List<OfferedWork> lastOffered = List.of();

        private Subscriber(Address address) {
            this.address = address;
        }
    }

    private final Map<Address, Subscriber> subscribers = new TreeMap<>();
    private final Map<String, CumulativeDemand> demandByModel = new TreeMap<>();

    Subscriber onSubscribe(long now, Address from, long incarnation, Subscribe subscribe) {
        boolean known = subscribers.containsKey(from);
        Subscriber subscriber = subscribers.computeIfAbsent(from, Subscriber::new);
        subscriber.started = !known || subscriber.incarnation != incarnation;
        if (subscriber.incarnation != incarnation) {
            // A new incarnation restarts the numbering of its changes.
            subscriber.incarnation = incarnation;
            subscriber.receivedPoisonVersion = 0;
        }
        subscriber.lastReceivedAt = now;
        subscriber.requestClockNanos = subscribe.getAskedAtNs();
        subscriber.configVersion = subscribe.getConfigVersion();
        subscriber.directoryVersion = subscribe.getDirectoryVersion();
        subscriber.directoryIncarnation = subscribe.getDirectoryIncarnation();
        subscriber.wantsDirectory = subscribe.getWantsDirectory();
        subscriber.zone = subscribe.getZone();
        subscriber.fetchesConfig = subscribe.getFetchesConfig();
        subscriber.entriesHash = subscribe.getEntriesHash();
        // If the request builds on changes that only a previous incarnation of this process received, the version
        // stays, so that the subscriber sends all its changes again.
        if (subscribe.getPoisonSince() <= subscriber.receivedPoisonVersion) {
            subscriber.receivedPoisonVersion = Math.max(subscriber.receivedPoisonVersion, subscribe.getPoisonVersion());
        }
        if (known) {
            addOffered(subscriber, subscribe.getOfferedList());
        }
        subscriber.lastOffered = subscribe.getOfferedList();
        return subscriber;
    }

    /**
     * Adds the work that an entry was offered since its last request. The counters of an entry restart with it, while
     * the sum never decreases.
     *
     * <p>The first counters of an entry only set the base. Otherwise, after a restart of this process or an interrupted
     * connection, all work that the entry was ever offered would count as offered at once, and for seconds a hundred
     * engines would appear to be needed.
     */
    private void addOffered(Subscriber subscriber, List<OfferedWork> reported) {
        for (OfferedWork work : reported) {
            OfferedWork previous = subscriber.lastOffered.stream()
                    .filter(known -> known.getModel().equals(work.getModel()))
                    .filter(known -> known.getPrefill() <= work.getPrefill())
                    .findFirst()
                    .orElse(OfferedWork.getDefaultInstance());
            CumulativeDemand sum = demandByModel.getOrDefault(work.getModel(), new CumulativeDemand(0, 0));
            demandByModel.put(
                    work.getModel(),
                    new CumulativeDemand(
                            sum.prefill() + work.getPrefill() - previous.getPrefill(),
                            sum.decode() + Math.max(0, work.getDecode() - previous.getDecode())));
        }
    }

    /** The cumulative work that entries were offered for a model, as reported to this process. */
    CumulativeDemand demand(String model) {
        return demandByModel.getOrDefault(model, new CumulativeDemand(0, 0));
    }

    Collection<Subscriber> all() {
        return subscribers.values();
    }

    /** The addresses of the entries, sorted. */
    List<String> entryAddresses() {
        return subscribers.values().stream()
                .filter(subscriber -> subscriber.wantsDirectory)
                .map(subscriber -> subscriber.address.value())
                .toList();
    }

    /** The availability zones of the entries, in the order of their addresses. */
    List<String> entryZones() {
        return subscribers.values().stream()
                .filter(subscriber -> subscriber.wantsDirectory)
                .map(subscriber -> subscriber.zone)
                .toList();
    }

    void tick(long now) {
        subscribers.values().removeIf(subscriber -> now - subscriber.lastReceivedAt > LEASE_NANOS);
    }

    /** The lowest configuration version in force at any subscriber, or {@code highest} if there are no subscribers. */
    long lowestVersion(long highest) {
        return subscribers.values().stream()
                .mapToLong(subscriber -> subscriber.configVersion)
                .min()
                .orElse(highest);
    }
}
