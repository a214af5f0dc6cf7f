package org.cuminshelf.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** Merging of a configuration folder, origins of values, and reported problems. */
class ConfigFolderTest {

    private final Path folder;

    ConfigFolderTest() throws IOException {
        folder = Files.createTempDirectory("config");
    }

    @Example
    void aLaterFileOverridesAnEarlierOneWithoutEditingIt() throws IOException {
        write("10-base.yaml", "models:\n  m: {context-tokens: 100, adapters: [a, b]}\n");
        write("20-fair.yaml", "models:\n  m: {adapters: [c]}\n");
        MergedConfig merged = ConfigFolder.at(folder).mergeAndValidate().get();
        assertThat(merged.lines()).contains("models.m.context-tokens = 100", "models.m.adapters = [\"c\"]");
        assertThat(merged.origins())
                .containsEntry("models.m.context-tokens", "10-base.yaml")
                .containsEntry("models.m.adapters", "20-fair.yaml");
    }

    @Example
    void anExplicitNullRemovesAKey() throws IOException {
        write("10-base.yaml", "services: {a: {}, b: {}}\n");
        write("20-less.yaml", "services: {a: null}\n");
        FleetConfig config =
                ConfigFolder.at(folder).mergeAndValidate().get().bind().get();
        assertThat(config.services()).containsOnlyKeys("b");
    }

    @Example
    void anUnknownKeyIsReportedWithItsFileAndTheMostSimilarKnownKey() throws IOException {
        write("10-base.yaml", "models:\n  m: {context-token: 5}\n");
        ConfigProblem problem = onlyProblem();
        assertThat(problem.file()).isEqualTo("10-base.yaml");
        assertThat(problem.key()).isEqualTo("models.m.context-token");
        assertThat(problem.cure()).contains("did you mean context-tokens?");
    }

    @Example
    void anInvalidDurationIsReportedWithItsValueAndACure() throws IOException {
        write("10-base.yaml", "services: {s: {deadline: soon}}\n");
        ConfigProblem problem = onlyProblem();
        assertThat(problem.value()).isEqualTo("soon");
        assertThat(problem.cure()).contains("780ms");
    }

    @Example
    void anEventWithAnUnknownModelIsReportedWithItsFile() throws IOException {
        write("10-base.yaml", "models: {m: {}}\n");
        write("30-fair.yaml", "events:\n  fair: {start: 2027-03-01T09:00:00+01:00, models: [n]}\n");
        ConfigProblem problem = onlyProblem();
        assertThat(problem.file()).isEqualTo("30-fair.yaml");
        assertThat(problem.value()).isEqualTo("n");
    }

    @Example
    void malformedYamlIsReportedWithItsLine() throws IOException {
        write("10-base.yaml", "models:\n  m: [1,\n");
        assertThat(onlyProblem().key()).contains("line");
    }

    @Example
    void aDuplicateKeyInOneFileIsRejected() throws IOException {
        write("10-base.yaml", "services: {a: {}}\nservices: {b: {}}\n");
        assertThat(onlyProblem().file()).isEqualTo("10-base.yaml");
    }

    @Example
    void anEmptyFolderIsReported() {
        assertThat(onlyProblem().cure()).contains("add a .yaml file");
    }

    @Example
    void theCanonicalFormDoesNotDependOnTheOrderOfKeys() throws IOException {
        write("10-base.yaml", "services: {b: {}, a: {}}\nmodels: {m: {}}\n");
        byte[] first = ConfigFolder.at(folder).mergeAndValidate().get().canonicalJson();
        write("10-base.yaml", "models: {m: {}}\nservices: {a: {}, b: {}}\n");
        byte[] second = ConfigFolder.at(folder).mergeAndValidate().get().canonicalJson();
        assertThat(MergedConfig.hash(first)).isEqualTo(MergedConfig.hash(second));
    }

    private ConfigProblem onlyProblem() {
        List<ConfigProblem> problems =
                ConfigFolder.at(folder).mergeAndValidate().getLeft();
        assertThat(problems).hasSize(1);
        return problems.getFirst();
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }
}
