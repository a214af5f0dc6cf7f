package org.cuminshelf.trial;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.entry.EntryCore;
import org.cuminshelf.entry.EntrySettings;
import org.cuminshelf.message.AnswerEnd;
import org.cuminshelf.message.AnswerPart;
import org.cuminshelf.message.CallArrived;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderSent;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.planning.CumulativeDemand;
import org.cuminshelf.planning.EngineSnapshot;
import org.cuminshelf.planning.PlannerSettings;
import org.cuminshelf.planning.RoleChange;
import org.cuminshelf.planning.RolePlanner;
import org.cuminshelf.sidecar.SidecarCore;
import org.cuminshelf.sidecar.SidecarSettings;
import org.cuminshelf.standin.EngineSpeed;

/** One policy under one mix, with the cores of entry and sidecar that serve, in virtual time and from a seed. */
public final class Experiment {

    private static final String MODEL = "cataloguer";
    private static final long FIRST_TOKEN_LIMIT = Durations.nanos(780);
    private static final long GAP_LIMIT = Durations.nanos(40);
    private static final int SHEET_PROMPT = 3_000;
    private static final int SHEET_OUTPUT = 60;
    private static final int DRAFT_PROMPT = 300;
    private static final int DRAFT_OUTPUT = 300;
    /** Stand-in answers have between half and all of the tokens asked for. */
    private static final double OUTPUT_SHARE = 0.75;

    private static final int BOUND_STEPS = 40;
    private static final double STATIC_PREFILL_SHARE = 0.45;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long PLAN_EVERY = Durations.nanos(1_000);
    private static final long DRAIN_AT_END = Durations.nanos(60_000);
    private static final Address CONTROL = Address.of("10.0.0.1:7000");

    /** A call on its way. */
    private static final class Call {
        private final long arrivedAt;
        private long firstAt = -1;
        private int tokens;

        private Call(long arrivedAt) {
            this.arrivedAt = arrivedAt;
        }
    }

    private final Contender contender;
    private final Mix mix;
    private final int engineCount;
    private final EngineSpeed speed = EngineSpeed.usual();
    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network;
    private final UniformRandomProvider random;
    private final List<VirtualNode> entries = new ArrayList<>();
    private final List<VirtualNode> sidecars = new ArrayList<>();
    private final List<ExperimentEngine> engines = new ArrayList<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<Address, CumulativeDemand> offeredByEntry = new HashMap<>();
    private final RolePlanner planner;
    private final Histogram firstTokens = new Histogram(3);
    private final Histogram gaps = new Histogram(3);
    private long nextCall = 1;
    private long nextOrder = 1;
    private long offered;
    private long timely;
    private long late;
    private long refused;
    private long cut;
    private double boundServed;
    private double boundOffered;

    private Experiment(Contender contender, Mix mix, int engineCount, int entryCount, long seed) {
        this.contender = contender;
        this.mix = mix;
        this.engineCount = engineCount;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.network = new VirtualNetwork(time, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1));
        this.planner = contender.planner().apply(plannerSettings());
        VirtualNode control = new VirtualNode(CONTROL, time, network, (node, now) -> new ControlStub(), 1);
        network.add(control);
        control.start();
        for (int i = 0; i < engineCount; i++) {
            addEngine(i);
        }
        for (int i = 0; i < entryCount; i++) {
            addEntry(i, engineCount <= 64 ? 64 : 48);
        }
    }

    /**
     * Runs one policy under one mix.
     *
     * @param contender the policy
     * @param mix       the mix
     * @param engines   engines in the fleet
     * @param entries   entries before them
     * @param seconds   virtual seconds, or 0 for those of the mix
     * @param seed      the seed of arrivals and delays; the same for all policies that are compared
     * @return what came of it
     */
    public static ExperimentResult run(
            Contender contender, Mix mix, int engines, int entries, double seconds, long seed) {
        Experiment experiment = new Experiment(contender, mix, engines, entries, seed);
        return experiment.run(seconds > 0 ? seconds : mix.seconds());
    }

    private ExperimentResult run(double seconds) {
        time.runUntil(Durations.nanos(4_000));
        long start = time.now();
        time.after(0, () -> arrive(start, seconds));
        time.after(0, this::plan);
        time.after(0, () -> reckonBound(start, seconds));
        time.runUntil(start + (long) (seconds * NANOS_PER_SECOND) + DRAIN_AT_END);
        cut += calls.size();
        long changes = engines.stream().mapToLong(ExperimentEngine::roleChanges).sum();
        return new ExperimentResult(
                contender.name(),
                mix,
                engineCount,
                offered,
                timely,
                late,
                refused,
                cut,
                changes,
                boundServed / boundOffered,
                firstTokens,
                gaps,
                seconds);
    }

    private PlannerSettings plannerSettings() {
        return new PlannerSettings(
                speed.prefillTokensPerSecond(),
                speed.decodeTokensPerSecond(),
                speed.roleChangeNanos() / NANOS_PER_SECOND,
                60,
                8,
                contender.weight(),
                1,
                1);
    }

    // ---- the fleet -----------------------------------------------------------------------------------------------

    private void addEngine(int number) {
        Address address = Address.of("10.2." + number / 250 + "." + (number % 250 + 1) + ":7000");
        SidecarSettings settings = new SidecarSettings(
                "",
                UpstreamKind.UPSTREAM_ENGINE,
                "r",
                "zone-" + number % 4,
                "engine-" + number,
                speed.slots(),
                false,
                List.of());
        VirtualNode node = new VirtualNode(
                address,
                time,
                network,
                (booted, now) -> SidecarCore.start(
                        settings,
                        booted.incarnation(),
                        now,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(number + 17),
                        Invariants.throwing()),
                1);
        network.add(node);
        boolean prefill = number < Math.round(engineCount * STATIC_PREFILL_SHARE);
        Role role = contender.mixed() ? Role.ROLE_MIXED : prefill ? Role.ROLE_PREFILL : Role.ROLE_DECODE;
        ExperimentEngine engine = new ExperimentEngine(time, node, speed, MODEL, role);
        node.port(Address.UPSTREAM, engine::handle);
        sidecars.add(node);
        engines.add(engine);
        node.start();
    }

    private void addEntry(int number, int subset) {
        Address address = Address.of("10.1.0." + (number + 1) + ":7000");
        EntrySettings settings = new EntrySettings(
                "r",
                "zone-" + number % 4,
                "entry-" + number,
                List.of(CONTROL),
                5_000,
                subset,
                "region",
                contender.routing());
        VirtualNode node = new VirtualNode(
                address,
                time,
                network,
                (booted, now) -> EntryCore.start(settings, address, booted.incarnation(), now, Invariants.throwing()),
                1);
        network.add(node);
        node.port(Address.CALLERS, this::onAnswer);
        entries.add(node);
        node.start();
    }

    /** Stands in for control: tells entries the directory once, and notes what work they were offered. */
    private final class ControlStub implements org.cuminshelf.core.Core {

        @Override
        public void accept(long now, Envelope input, org.cuminshelf.core.Outbox out) {
            if (!input.hasSubscribe()) {
                return;
            }
            Subscribe subscribe = input.getSubscribe();
            Address entry = Address.of(input.getFrom());
            subscribe
                    .getOfferedList()
                    .forEach(work ->
                            offeredByEntry.put(entry, new CumulativeDemand(work.getPrefill(), work.getDecode())));
            Update.Builder update = Update.newBuilder()
                    .setConfigVersion(1)
                    .setConfirmed(true)
                    .setVoter(true)
                    .setEntries(entries.size())
                    .setDirectoryVersion(1)
                    .setDirectoryIncarnation(1);
            if (subscribe.getDirectoryVersion() == 0) {
                update.setConfig(ByteString.copyFromUtf8("{\"models\":{\"" + MODEL + "\":{}}}"))
                        .setWholeDirectory(true);
                sidecars.forEach(sidecar -> update.addMembers(member(sidecar)));
            }
            out.send(entry, Envelope.newBuilder().setUpdate(update));
        }

        @Override
        public void tick(long now, org.cuminshelf.core.Outbox out) {
            // Nothing is due.
        }

        @Override
        public long nextDue() {
            return NEVER;
        }

        private static Member member(VirtualNode sidecar) {
            int last = sidecar.address().value().lastIndexOf('.');
            return Member.newBuilder()
                    .setAddress(sidecar.address().value())
                    .setIncarnation(sidecar.incarnation())
                    .setKind(UpstreamKind.UPSTREAM_ENGINE)
                    .setZone("zone-" + sidecar.address().value().charAt(last + 1) % 4)
                    .addModels(MODEL)
                    .build();
        }
    }

    // ---- arrivals ------------------------------------------------------------------------------------------------

    /** Engine seconds of prefill and decode that one call of each kind needs. */
    private double prefillWork(int prompt) {
        return prompt / (double) speed.prefillTokensPerSecond();
    }

    private double decodeWork(int output) {
        return output * OUTPUT_SHARE / speed.decodeTokensPerSecond();
    }

    private void arrive(long start, double seconds) {
        double at = (time.now() - start) / NANOS_PER_SECOND;
        if (at >= seconds) {
            return;
        }
        Rates rates = rates(at);
        double rate = rates.sheets + rates.drafts;
        boolean sheet = random.nextDouble() * rate < rates.sheets;
        send(sheet ? SHEET_PROMPT : DRAFT_PROMPT, sheet ? SHEET_OUTPUT : DRAFT_OUTPUT, sheet);
        long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND);
        time.after(Math.max(1, gap), () -> arrive(start, seconds));
    }

    private void send(int prompt, int output, boolean sheet) {
        long id = nextCall++;
        offered++;
        calls.put(id, new Call(time.now()));
        int promptTokens = prompt / 2 + random.nextInt(prompt);
        int maxTokens = output / 2 + random.nextInt(output);
        Generation.Builder generation = Generation.newBuilder()
                .setModel(MODEL)
                .setPrompt("call " + id)
                .setPromptTokens(promptTokens)
                .setMaxTokens(maxTokens);
        CallArrived call = CallArrived.newBuilder()
                .setCall(id)
                .setGeneration(generation)
                .setOrganisation((sheet ? "sheets-" : "drafts-") + random.nextInt(20))
                .build();
        VirtualNode entry = entries.get(random.nextInt(entries.size()));
        entry.deliverLocal(
                entry.incarnation(), Address.CALLERS, Envelope.newBuilder().setCallArrived(call));
    }

    private void onAnswer(Envelope message) {
        if (message.hasAnswerPart()) {
            onPart(message.getAnswerPart());
        } else if (message.hasAnswerEnd()) {
            onEnd(message.getAnswerEnd());
        }
    }

    private void onPart(AnswerPart part) {
        Call call = calls.get(part.getCall());
        if (call != null) {
            call.firstAt = call.firstAt < 0 ? time.now() : call.firstAt;
            call.tokens += part.getTokensCount();
        }
    }

    private void onEnd(AnswerEnd end) {
        Call call = calls.remove(end.getCall());
        if (call == null) {
            return;
        }
        if (!end.getWhole()) {
            refused += end.getRan() == Ran.NOT_RUN ? 1 : 0;
            cut += end.getRan() == Ran.NOT_RUN ? 0 : 1;
            return;
        }
        long first = call.firstAt - call.arrivedAt;
        long gap = call.tokens > 1 ? (time.now() - call.firstAt) / (call.tokens - 1) : 0;
        firstTokens.recordValue(Durations.millis(first));
        gaps.recordValue(Durations.millis(gap));
        if (first <= FIRST_TOKEN_LIMIT && gap <= GAP_LIMIT) {
            timely++;
        } else {
            late++;
        }
    }

    // ---- planning ------------------------------------------------------------------------------------------------

    private void plan() {
        long prompt = 0;
        long output = 0;
        for (CumulativeDemand demand : offeredByEntry.values()) {
            prompt += demand.prefill();
            output += demand.decode();
        }
        List<EngineSnapshot> views = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            SidecarCore core = sidecars.get(i).core(SidecarCore.class).orElseThrow();
            views.add(new EngineSnapshot(
                    Integer.toString(i),
                    engines.get(i).model().role(),
                    core.isRoleChangePending(),
                    core.runningAttempts()));
        }
        for (RoleChange change : planner.plan(time.now(), views, new CumulativeDemand(prompt, output))) {
            order(Integer.parseInt(change.engine()), change.role());
        }
        time.after(PLAN_EVERY, this::plan);
    }

    private void order(int engine, Role role) {
        VirtualNode sidecar = sidecars.get(engine);
        Order order = Order.newBuilder()
                .setEngine(sidecar.address().value())
                .setIncarnation(sidecar.incarnation())
                .setTerm(1)
                .setNumber(nextOrder++)
                .setBody(OrderBody.newBuilder().setChangeRole(role))
                .build();
        OrderSent sent = OrderSent.newBuilder()
                .setOrder(order)
                .setStartWithinMs(40_000)
                .setGroup("region")
                .build();
        sidecar.deliver(Envelope.newBuilder()
                .setFrom(CONTROL.value())
                .setIncarnation(1)
                .setOrderSent(sent)
                .build());
    }

    /**
     * A clairvoyant changes roles for nothing and serves, each second, the most calls that the engines could at their
     * best: over every split of the engines and every share of the sheets, as many drafts as still fit.
     */
    private void reckonBound(long start, double seconds) {
        double at = (time.now() - start) / NANOS_PER_SECOND;
        if (at >= seconds) {
            return;
        }
        Rates rates = rates(at);
        double most = 0;
        for (int p = 1; p < engineCount; p++) {
            for (int step = 0; step <= BOUND_STEPS; step++) {
                most = Math.max(most, served(p, rates, rates.sheets * step / BOUND_STEPS));
            }
        }
        boundOffered += rates.sheets + rates.drafts;
        boundServed += most;
        time.after(Durations.nanos(1_000), () -> reckonBound(start, seconds));
    }

    /** Calls a second served with so many prefill engines and so many sheets. */
    private double served(int p, Rates rates, double sheets) {
        double prefillLeft = p - sheets * prefillWork(SHEET_PROMPT);
        double decodeLeft = engineCount - p - sheets * decodeWork(SHEET_OUTPUT);
        if (prefillLeft < 0 || decodeLeft < 0) {
            return 0;
        }
        double drafts = Math.min(prefillLeft / prefillWork(DRAFT_PROMPT), decodeLeft / decodeWork(DRAFT_OUTPUT));
        return sheets + Math.min(rates.drafts, drafts);
    }

    /** Calls of both kinds offered in a second. */
    private record Rates(double sheets, double drafts) {}

    private Rates rates(double at) {
        double work = mix.load(at) * engineCount;
        double prefill = work * mix.prefillShare(at);
        double decode = work - prefill;
        double determinant = prefillWork(SHEET_PROMPT) * decodeWork(DRAFT_OUTPUT)
                - prefillWork(DRAFT_PROMPT) * decodeWork(SHEET_OUTPUT);
        double sheets = (prefill * decodeWork(DRAFT_OUTPUT) - prefillWork(DRAFT_PROMPT) * decode) / determinant;
        double drafts = (prefillWork(SHEET_PROMPT) * decode - prefill * decodeWork(SHEET_OUTPUT)) / determinant;
        return new Rates(Math.max(0, sheets), Math.max(0, drafts));
    }
}
