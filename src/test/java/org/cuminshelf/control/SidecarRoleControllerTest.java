package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.config.MergedConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Subscribe;

/** Role changes of engines that have sidecars, planned by three control processes. */
class SidecarRoleControllerTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final int ENGINES = 6;
    private static final int STEP_MILLIS = 500;
    private static final String CONFIG = "{\"models\":{\"m\":{\"prefill-per-second\":1000,\"decode-per-second\":1000}},"
            + "\"planning\":{\"enabled\":true}}";

    private final ControlClusterFixture control = ControlClusterFixture.withRegionGroup();
    private long promptTokenCount;
    private long outputTokenCount;

    /*
     * Prompts queue at two engines while four are almost idle. The leader is lost just after the load changed, and its
     * successor observes the load only from its election on, so that it plans nothing for 5 s.
     */
    @Example
    void aNewLeaderKnowsTheLoadFromBeforeItsElection() {
        advance(4_000, 0, 0);
        apply();
        advance(12_000, 1_000, 1_000);
        assertThat(control.sidecarOrders).isEmpty();
        control.kill(control.leader(ControlClusterFixture.REGION_GROUP).orElseThrow());
        int waitedMillis = 0;
        while (control.leader(ControlClusterFixture.REGION_GROUP).isEmpty() && waitedMillis < 10_000) {
            advance(STEP_MILLIS, 4_000, 0);
            waitedMillis += STEP_MILLIS;
        }
        advance(4_000, 4_000, 0);
        assertThat(control.sidecarOrders).isNotEmpty();
        assertThat(control.sidecarOrders.getFirst().getOrder().getBody().getChangeRole())
                .isEqualTo(Role.ROLE_PREFILL);
    }

    private void apply() {
        ByteString config = ByteString.copyFromUtf8(CONFIG);
        ConfigApply apply = ConfigApply.newBuilder()
                .setConfig(config)
                .setHash(MergedConfig.hash(config.toByteArray()))
                .build();
        control.sendTo(
                control.leader().orElseThrow(),
                Address.ADMINISTRATORS,
                Envelope.newBuilder()
                        .setAdminRequest(
                                AdminRequest.newBuilder().setQuestion(1).setConfigApply(apply)));
    }

    /** Advances the time while prompt and output tokens are offered at the given rates. */
    private void advance(int millis, long promptTokensPerSecond, long outputTokensPerSecond) {
        for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            promptTokenCount += promptTokensPerSecond * STEP_MILLIS / 1_000;
            outputTokenCount += outputTokensPerSecond * STEP_MILLIS / 1_000;
            for (int engine = 1; engine <= ENGINES; engine++) {
                announce(engine);
            }
            OfferedWork offered = OfferedWork.newBuilder()
                    .setModel("m")
                    .setPrefill(promptTokenCount)
                    .setDecode(outputTokenCount)
                    .build();
            Subscribe subscribe =
                    Subscribe.newBuilder().addAllOffered(List.of(offered)).build();
            control.sendToAll(ENTRY, Envelope.newBuilder().setSubscribe(subscribe));
            control.advance(STEP_MILLIS);
        }
    }

    private void announce(int engine) {
        LoadReport load = LoadReport.newBuilder()
                .addModels("m")
                .setRole(engine <= 2 ? Role.ROLE_PREFILL : Role.ROLE_DECODE)
                .build();
        Announce announce = Announce.newBuilder()
                .setRegion("r")
                .setVm("engine-" + engine)
                .setLoad(load)
                .build();
        control.sendToAll(
                Address.of("10.0.2." + engine + ":7000"),
                Envelope.newBuilder().setIncarnation(9).setAnnounce(announce));
    }
}
