package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.control.ControlCore;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.entry.EntryCore;
import org.cuminshelf.entry.EntrySettings;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.ReplicaSettings;
import org.cuminshelf.sidecar.SidecarCore;
import org.cuminshelf.sidecar.SidecarSettings;

/** The processes of a run: three control processes, some entries, and sidecars with engines and services. */
final class VirtualFleet {

    private static final String REGION = "region-1";
    private static final String GROUP = "region";
    private static final int CONTROL = 3;
    private static final int ENTRIES = 2;
    private static final int ENGINES = 3;
    private static final int SERVICES = 2;
    private static final double CLOCK_DRIFT = 0.01;

    final List<VirtualNode> control = new ArrayList<>();
    final List<VirtualNode> entries = new ArrayList<>();
    final List<VirtualNode> sidecars = new ArrayList<>();
    final Map<Address, VirtualDisk> disks = new HashMap<>();
    final Map<Address, VirtualEngine> engines = new HashMap<>();
    private final List<UpstreamLink> serviceLinks = new ArrayList<>();
    final VirtualService.Registry registry = new VirtualService.Registry();
    private final VirtualTime time;
    private final VirtualNetwork network;
    private final UniformRandomProvider random;
    private final Invariants invariants;
    private final List<Address> controlAddresses = new ArrayList<>();

    VirtualFleet(VirtualTime time, VirtualNetwork network, UniformRandomProvider random, Invariants invariants) {
        this.time = time;
        this.network = network;
        this.random = random;
        this.invariants = invariants;
        for (int number = 1; number <= CONTROL; number++) {
            controlAddresses.add(Address.of("10.0.0." + number + ":7000"));
        }
        controlAddresses.forEach(this::addControl);
        for (int number = 1; number <= ENTRIES; number++) {
            addEntry(Address.of("10.0.1." + number + ":7000"), number);
        }
        for (int number = 1; number <= ENGINES; number++) {
            addEngine(Address.of("10.0.2." + number + ":7000"), number);
        }
        for (int number = 1; number <= SERVICES; number++) {
            addService(Address.of("10.0.3." + number + ":7000"), number);
        }
    }

    List<VirtualNode> all() {
        List<VirtualNode> all = new ArrayList<>(control);
        all.addAll(entries);
        all.addAll(sidecars);
        return all;
    }

    List<Address> engineAddresses() {
        return List.copyOf(new java.util.TreeSet<>(engines.keySet()));
    }

    List<UpstreamLink> engineLinks() {
        return engineAddresses().stream()
                .map(address -> engines.get(address).link())
                .toList();
    }

    List<UpstreamLink> serviceLinks() {
        return serviceLinks;
    }

    private VirtualNode node(Address address, VirtualNode.Boot boot) {
        double rate = 1 + (random.nextDouble() * 2 - 1) * CLOCK_DRIFT;
        VirtualNode node = new VirtualNode(address, time, network, boot, rate);
        network.add(node);
        return node;
    }

    private UniformRandomProvider ownRandom() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    }

    private void addControl(Address address) {
        VirtualDisk disk = new VirtualDisk(time, ownRandom());
        disks.put(address, disk);
        ControlSettings settings = new ControlSettings(
                REGION,
                List.of(
                        new ReplicaSettings(ControlSettings.GLOBAL_GROUP, address, controlAddresses, true),
                        new ReplicaSettings(GROUP, address, controlAddresses, false)));
        VirtualNode node = node(address, (booted, now) -> {
            Map<String, DurableState> durable = new HashMap<>();
            settings.groups().forEach(group -> durable.put(group.group(), disk.open(group.group())));
            return ControlCore.start(settings, address, booted.incarnation(), durable, now, ownRandom(), invariants);
        });
        node.port(Address.STORAGE, message -> disk.persist(node, message));
        node.onKill(disk::crash);
        control.add(node);
        node.start();
    }

    private void addEntry(Address address, int number) {
        EntrySettings settings =
                EntrySettings.of(REGION, "zone-" + number, "entry-" + number, controlAddresses, 200, 32, GROUP);
        VirtualNode node = node(
                address, (booted, now) -> EntryCore.start(settings, address, booted.incarnation(), now, invariants));
        entries.add(node);
        node.start();
    }

    private void addEngine(Address address, int number) {
        boolean checksFence = number % 2 == 0;
        SidecarSettings settings = new SidecarSettings(
                "",
                UpstreamKind.UPSTREAM_ENGINE,
                REGION,
                "zone-" + number,
                "engine-" + number,
                32,
                checksFence,
                controlAddresses);
        VirtualNode node = node(
                address,
                (booted, now) -> SidecarCore.start(settings, booted.incarnation(), now, ownRandom(), invariants));
        VirtualEngine engine = new VirtualEngine(time, ownRandom(), invariants, node, checksFence);
        node.port(Address.UPSTREAM, engine::handle);
        engines.put(address, engine);
        sidecars.add(node);
        node.start();
    }

    private void addService(Address address, int number) {
        SidecarSettings settings = new SidecarSettings(
                "registry",
                UpstreamKind.UPSTREAM_SERVICE,
                REGION,
                "zone-" + number,
                "registry-" + number,
                32,
                false,
                controlAddresses);
        VirtualNode node = node(
                address,
                (booted, now) -> SidecarCore.start(settings, booted.incarnation(), now, ownRandom(), invariants));
        VirtualService service = new VirtualService(time, ownRandom(), node, registry);
        node.port(Address.UPSTREAM, service::handle);
        serviceLinks.add(service.link());
        sidecars.add(node);
        node.start();
    }
}
