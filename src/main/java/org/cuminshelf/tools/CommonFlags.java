package org.cuminshelf.tools;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.http.PemFiles;
import org.cuminshelf.network.ReloadingTlsContext;
import org.cuminshelf.process.CommonSettings;

/** The flags that all long-running processes of the system have in common. */
final class CommonFlags {

    private CommonFlags() {}

    static void describe(Subparser parser) {
        Flags.addRequired(
                parser, "listen", "IP address and port on which this process accepts messages from other processes");
        Flags.addRequired(parser, "vm", "name of this VM");
        Flags.addRequired(parser, "zone", "availability zone of this VM");
        Flags.addRequired(parser, "region", "region of this VM");
        Flags.add(parser, "mesh-cert", "PEM certificate chain for connections between processes", "");
        Flags.add(parser, "mesh-key", "PEM key (PKCS#8) for connections between processes", "");
        Flags.add(
                parser,
                "mesh-ca",
                "PEM certificate of the authority that signed the certificates of all processes",
                "");
        Flags.addSwitch(parser, "mesh-plain", "disable TLS on connections between processes");
        Flags.add(parser, "span-file", "file to which trace spans are appended", "");
        Flags.add(parser, "otlp", "OTLP/HTTP endpoint to which trace spans are exported", "");
        Flags.add(parser, "trace-file", "file in which the inputs of the core are recorded", "");
        Flags.add(parser, "grace-ms", "maximum duration of a graceful shutdown in milliseconds", "60000");
    }

    static CommonSettings read(Namespace flags) throws UsageException, IOException {
        return new CommonSettings(
                Flags.address(flags, "listen"),
                Flags.text(flags, "region"),
                Flags.text(flags, "zone"),
                Flags.text(flags, "vm"),
                meshTls(flags),
                Flags.path(flags, "span-file"),
                Flags.optional(flags, "otlp"),
                Flags.path(flags, "trace-file"),
                Flags.number(flags, "grace-ms", 1, 3_600_000));
    }

    /** Connections between processes use mutual TLS unless {@code --mesh-plain} disables it explicitly. */
    private static Optional<ReloadingTlsContext> meshTls(Namespace flags) throws UsageException, IOException {
        Optional<Path> certificate = Flags.path(flags, "mesh-cert");
        Optional<Path> key = Flags.path(flags, "mesh-key");
        Optional<Path> authority = Flags.path(flags, "mesh-ca");
        if (Flags.isOn(flags, "mesh-plain")) {
            return Optional.empty();
        }
        if (certificate.isEmpty() || key.isEmpty() || authority.isEmpty()) {
            throw new UsageException("give --mesh-cert, --mesh-key and --mesh-ca, or --mesh-plain to disable TLS");
        }
        return Optional.of(ReloadingTlsContext.read(certificate.get(), key.get(), authority.get()));
    }

    /** Returns the PEM files named by two flags, of which both or neither must be given. */
    static Optional<PemFiles> pem(Namespace flags, String certificateFlag, String keyFlag) throws UsageException {
        Optional<Path> certificate = Flags.path(flags, certificateFlag);
        Optional<Path> key = Flags.path(flags, keyFlag);
        if (certificate.isPresent() != key.isPresent()) {
            throw new UsageException("give both --" + certificateFlag + " and --" + keyFlag + ", or neither");
        }
        return certificate.map(chain -> new PemFiles(chain, key.orElseThrow()));
    }
}
