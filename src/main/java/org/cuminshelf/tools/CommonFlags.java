package org.cuminshelf.tools;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.http.PemFiles;
import org.cuminshelf.network.ReloadingTlsContext;
import org.cuminshelf.process.CommonSettings;

/** The flags that every process of the system has. */
final class CommonFlags {

    private CommonFlags() {}

    static void describe(Subparser parser) {
        Flags.addRequired(parser, "listen", "own IP number and port for messages from other processes");
        Flags.addRequired(parser, "vm", "name of this VM");
        Flags.addRequired(parser, "zone", "availability zone of this VM");
        Flags.addRequired(parser, "region", "region of this VM");
        Flags.add(parser, "mesh-cert", "PEM certificate chain for connections between processes", "");
        Flags.add(parser, "mesh-key", "PEM key (PKCS#8) for connections between processes", "");
        Flags.add(parser, "mesh-ca", "PEM certificate of the authority that all processes are signed by", "");
        Flags.addSwitch(parser, "mesh-plain", "let connections between processes go in the clear");
        Flags.add(parser, "span-file", "file to which spans are appended", "");
        Flags.add(parser, "otlp", "OTLP endpoint over HTTP to which spans are sent", "");
        Flags.add(parser, "trace-file", "file to which the inputs of the core are recorded", "");
        Flags.add(parser, "grace-ms", "milliseconds that a graceful stop may take", "60000");
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

    /** Connections between processes are authenticated on both ends unless that is switched off in so many words. */
    private static Optional<ReloadingTlsContext> meshTls(Namespace flags) throws UsageException, IOException {
        Optional<Path> certificate = Flags.path(flags, "mesh-cert");
        Optional<Path> key = Flags.path(flags, "mesh-key");
        Optional<Path> authority = Flags.path(flags, "mesh-ca");
        if (Flags.isOn(flags, "mesh-plain")) {
            return Optional.empty();
        }
        if (certificate.isEmpty() || key.isEmpty() || authority.isEmpty()) {
            throw new UsageException("give --mesh-cert, --mesh-key and --mesh-ca, or --mesh-plain to go without TLS");
        }
        return Optional.of(ReloadingTlsContext.read(certificate.get(), key.get(), authority.get()));
    }

    /** The PEM files behind two flags, both or neither. */
    static Optional<PemFiles> pem(Namespace flags, String certificateFlag, String keyFlag) throws UsageException {
        Optional<Path> certificate = Flags.path(flags, certificateFlag);
        Optional<Path> key = Flags.path(flags, keyFlag);
        if (certificate.isPresent() != key.isPresent()) {
            throw new UsageException("give both --" + certificateFlag + " and --" + keyFlag + ", or neither");
        }
        return certificate.map(chain -> new PemFiles(chain, key.orElseThrow()));
    }
}
