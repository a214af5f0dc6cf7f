package org.cuminshelf.process;

import java.nio.file.Path;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.network.ReloadingTlsContext;

/**
 * Settings shared by all kinds of process.
 *
 * @param listen       address on which this process receives messages
 * @param region       the region of the VM
 * @param zone         the availability zone of the VM
 * @param vm           the name of the VM
 * @param meshTls      TLS context for messages between processes, or empty to send them unencrypted
 * @param spanFile     file to which spans are written, or empty for none
 * @param otlpEndpoint OTLP endpoint to which spans are sent, or empty for none
 * @param traceFile    file to which the core's inputs are recorded, or empty for none
 * @param graceMillis  maximum duration of a graceful stop in milliseconds
 */
public record CommonSettings(
        Address listen,
        String region,
        String zone,
        String vm,
        Optional<ReloadingTlsContext> meshTls,
        Optional<Path> spanFile,
        Optional<String> otlpEndpoint,
        Optional<Path> traceFile,
        long graceMillis) {

    private static final long DEFAULT_GRACE_MILLIS = 60_000;

    /**
     * Creates settings without TLS, spans or trace, with the default grace period of 60 seconds.
     *
     * @param listen address on which this process receives messages
     * @param region the region of the VM
     * @param zone   the availability zone of the VM
     * @param vm     the name of the VM
     * @return the settings
     */
    public static CommonSettings unencrypted(Address listen, String region, String zone, String vm) {
        return new CommonSettings(
                listen,
                region,
                zone,
                vm,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                DEFAULT_GRACE_MILLIS);
    }
}
