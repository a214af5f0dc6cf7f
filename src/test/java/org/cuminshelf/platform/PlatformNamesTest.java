package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** The platform's names stay in its package, so that another platform is another package and nothing else. */
class PlatformNamesTest {

    private static final Path SOURCES = Path.of("src/main/java/org/cuminshelf");
    private static final Pattern NAMES = Pattern.compile(
            "X-Cuminshelf-|Server-Limit|Server-Leaving|/cuminshelf/|heartbeatAddr|routeKind|kvHandle|trafficSplit"
                    + "|CUMINSHELF_BOOT|internalPorts");

    @Example
    void noOtherPackageHoldsANameOfThePlatform() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String folder = file.getParent().getFileName().toString();
                boolean own = folder.equals("platform") || folder.equals("message");
                if (!own && NAMES.matcher(Files.readString(file)).find()) {
                    found.add(file.toString());
                }
            }
        }
        assertThat(found).isEmpty();
    }
}
