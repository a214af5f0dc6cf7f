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

/** Roles of engines that have sidecars, planned by three control processes. */
class SidecarRoleControllerTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final int ENGINES = 6;
    private static final int STEP_MILLIS = 500;
    private static final String CONFIG = "{\"models\":{\"m\":{\"prefill-per-second\":1000,\"decode-per-second\":1000}},"
            + "\"planning\":{\"enabled\":true}}";

    private final ControlClusterFixture control = ControlClusterFixture.withRegion();
    private long prompts;
    private long outputs;

    /*
     * Prompts wait for each other at two engines while four have next to nothing to do. The leader is lost just as the
     * mix has moved, and its successor begins to look at the mix when it begins to lead: for 5 s it plans nothing.
     */
    @Example
    void aNewLeaderKnowsTheMixBeforeItLed() {
        pass(4_000, 0, 0);
        apply();
        pass(12_000, 1_000, 1_000);
        assertThat(control.sidecarOrders).isEmpty();
        control.kill(control.leader(ControlClusterFixture.REGION).orElseThrow());
        int waited = 0;
        while (control.leader(ControlClusterFixture.REGION).isEmpty() && waited < 10_000) {
            pass(STEP_MILLIS, 4_000, 0);
            waited += STEP_MILLIS;
        }
        pass(4_000, 4_000, 0);
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
        control.give(
                control.leader().orElseThrow(),
                Address.ADMINISTRATORS,
                Envelope.newBuilder()
                        .setAdminRequest(
                                AdminRequest.newBuilder().setQuestion(1).setConfigApply(apply)));
    }

    /** Lets time pass in which so many tokens of prompts and of output are offered in a second. */
    private void pass(int millis, long promptTokens, long outputTokens) {
        for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
            prompts += promptTokens * STEP_MILLIS / 1_000;
            outputs += outputTokens * STEP_MILLIS / 1_000;
            for (int engine = 1; engine <= ENGINES; engine++) {
                announce(engine);
            }
            OfferedWork offered = OfferedWork.newBuilder()
                    .setModel("m")
                    .setPrefill(prompts)
                    .setDecode(outputs)
                    .build();
            Subscribe subscribe =
                    Subscribe.newBuilder().addAllOffered(List.of(offered)).build();
            control.giveAll(ENTRY, Envelope.newBuilder().setSubscribe(subscribe));
            control.pass(STEP_MILLIS);
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
        control.giveAll(
                Address.of("10.0.2." + engine + ":7000"),
                Envelope.newBuilder().setIncarnation(9).setAnnounce(announce));
    }
}
