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

/** The platform's names appear in its package only, so that another platform needs only another package. */
class PlatformNamesTest {

    private static final Path SOURCES = Path.of("src/main/java/org/cuminshelf");
    private static final Pattern PLATFORM_NAMES = Pattern.compile(
            "X-Cuminshelf-|Server-Limit|Server-Leaving|/cuminshelf/|heartbeatAddr|routeKind|kvHandle|trafficSplit"
                    + "|CUMINSHELF_BOOT|internalPorts");

    @Example
    void noOtherPackageContainsANameOfThePlatform() throws IOException {
        List<String> offendingFiles = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String packageName = file.getParent().getFileName().toString();
                boolean allowed = packageName.equals("platform") || packageName.equals("message");
                if (!allowed && PLATFORM_NAMES.matcher(Files.readString(file)).find()) {
                    offendingFiles.add(file.toString());
                }
            }
        }
        assertThat(offendingFiles).isEmpty();
    }
}
