package org.cuminshelf.process;

import java.nio.file.Path;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.network.ReloadingTlsContext;

/**
 * What every process of the system is told.
 *
 * @param listen      the own address for messages
 * @param region      the region of the VM
 * @param zone        the availability zone of the VM
 * @param vm          the name of the VM
 * @param meshTls     keys for messages between processes, or nothing where they go in the clear
 * @param spanFile    file to which spans are written, if any
 * @param otlp        OTLP endpoint to which spans are sent, if any
 * @param traceFile   file to which the core's inputs are recorded, if any
 * @param graceMillis how long a graceful stop may take
 */
public record CommonSettings(
        Address listen,
        String region,
        String zone,
        String vm,
        Optional<ReloadingTlsContext> meshTls,
        Optional<Path> spanFile,
        Optional<String> otlp,
        Optional<Path> traceFile,
        long graceMillis) {

    private static final long DEFAULT_GRACE_MILLIS = 60_000;

    /**
     * Settings of a process in the clear, with nothing recorded.
     *
     * @param listen the own address for messages
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
