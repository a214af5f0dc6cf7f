package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import org.cuminshelf.control.DutySettings;
import org.cuminshelf.core.Address;

/** The platform's settings file. */
class BootSettingsTest {

    private static final String FILE = "{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":\"10.0.0.1\","
            + "\"listen\":{\"front\":\"10.0.0.1:80\",\"ready\":\"10.0.0.1:81\"},\"internalPorts\":[7000,7015],"
            + "\"seeds\":[\"10.0.0.9:8144\"],\"bootstrap\":true,\"dataDir\":null,\"unknown\":{},"
            + "\"bounds\":{\"graceS\":8,\"retryBudgetRatio\":0.2,\"retrySlack\":58,\"retryWindowS\":10}}";

    private static BootSettings read(String text) throws IOException {
        Path file = Files.createTempFile("boot", ".json");
        try {
            Files.writeString(file, text);
            return BootSettings.read(file);
        } finally {
            Files.delete(file);
        }
    }

    @Example
    void seedsAreContactedAtTheFirstInternalPort() throws IOException {
        BootSettings boot = read(FILE);
        assertThat(boot.seeds()).containsExactly(Address.of("10.0.0.9:7000"));
        assertThat(boot.messageAddress()).isEqualTo(Address.of("10.0.0.1:7000"));
        assertThat(boot.metricsAddress()).isEqualTo(Address.of("10.0.0.1:7015"));
        assertThat(boot.withMetricsPort(9464).metricsAddress()).isEqualTo(Address.of("10.0.0.1:9464"));
        assertThat(boot.withMetricsPort(9464).seeds()).isEqualTo(boot.seeds());
        assertThat(boot.stopGraceMillis()).isEqualTo(8_000);
        assertThat(boot.retryLimits().allowance()).isEqualTo(58);
        assertThat(boot.controlAddress()).isEmpty();
    }

    @Example
    void usageIsReportedOnlyIfThePlatformAcceptsItAndItsWindowIsSet() throws IOException {
        String bounds = "\"bounds\":{\"usageWindowS\":5,\"usageLateS\":10,\"leaseMs\":2500,";
        String settings = FILE.replace("\"bounds\":{", bounds)
                .replace(
                        "\"unknown\":{}",
                        "\"cloud\":{\"address\":\"10.9.0.1:80\",\"dutyPerS\":2.5,"
                                + "\"duties\":[\"autoscale\",\"usage_report\"]}");
        PlatformDutySettings duties = read(settings).duties();
        assertThat(duties.platformAddress()).hasValue(Address.of("10.9.0.1:80"));
        assertThat(duties.usageWindowMillis()).hasValue(5_000);
        assertThat(duties.toDutySettings())
                .isEqualTo(new DutySettings(2_500, OptionalLong.of(10_000), OptionalDouble.of(2.5)));
        assertThat(read(settings.replace("usage_report", "another")).duties().usageWindowMillis())
                .isEmpty();
        assertThat(read(settings.replace("\"usageWindowS\":5", "\"usageWindowS\":\"x\""))
                        .duties()
                        .usageWindowMillis())
                .isEmpty();
        assertThat(read(FILE).duties().toDutySettings().usageDeadlineMillis()).isEmpty();
    }

    @Example
    void aFileWithoutARequiredFieldIsRejectedWithTheFieldsName() {
        assertThatThrownBy(() -> read(FILE.replace("\"ip\"", "\"pi\"")))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("'ip' is missing");
        assertThatThrownBy(() -> read(FILE.replace("[7000,7015]", "7"))).hasMessageContaining("internalPorts");
    }

    @Example
    void aFileThatIsMissingOrNotAnObjectIsRejected() {
        assertThatThrownBy(() -> read("[]")).hasMessageContaining("no JSON object");
        assertThatThrownBy(() -> read("{\"node\":")).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> BootSettings.read(Path.of("/nowhere/boot.json")))
                .hasMessageContaining("can't be read");
    }
}
