package org.cuminshelf.core;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.message.Update;

/**
 * Versions of the control processes' upstream directories that a subscriber has received.
 *
 * <p>If a subscriber restarts at its old address while a control process still counts it as subscribed, it receives
 * only the changes since the version that its predecessor had. If it took such an update for the whole directory, it
 * would never request the rest, and would refuse every request for lack of upstreams until its next restart. So an
 * update that builds on a version not received here doesn't advance the version, and the next subscription requests the
 * whole directory.
 */
public final class DirectoryVersions {

    private record DirectoryVersion(long incarnation, long version) {}

    private static final DirectoryVersion NONE = new DirectoryVersion(0, 0);

    private final Map<Address, DirectoryVersion> byControl = new HashMap<>();

    private DirectoryVersions() {}

    /**
     * Creates an instance for a subscriber that has received no directory yet.
     *
     * @return the instance
     */
    public static DirectoryVersions none() {
        return new DirectoryVersions();
    }

    /**
     * Returns the incarnation of a control process that sent the received directory. Each start of a process is a new
     * incarnation, and versions are comparable only within one.
     *
     * @param control address of the control process
     * @return its incarnation; 0 if nothing was received
     */
    public long incarnation(Address control) {
        return byControl.getOrDefault(control, NONE).incarnation;
    }

    /**
     * Returns the received version of a control process's directory.
     *
     * @param control address of the control process
     * @return the version; 0 if nothing was received
     */
    public long version(Address control) {
        return byControl.getOrDefault(control, NONE).version;
    }

    /**
     * Returns whether a newer update from the same incarnation of the sender was already received.
     *
     * @param control address of the sender
     * @param update  the update
     * @return whether the update is older than the received version
     */
    public boolean isStale(Address control, Update update) {
        return incarnation(control) == update.getDirectoryIncarnation()
                && update.getDirectoryVersion() < version(control);
    }

    /**
     * Records an update that the subscriber has applied.
     *
     * @param control address of the sender
     * @param update  the update
     */
    public void recordUpdate(Address control, Update update) {
        boolean sameIncarnation = incarnation(control) == update.getDirectoryIncarnation();
        boolean continues = sameIncarnation && update.getDirectorySince() <= version(control);
        if (update.getWholeDirectory() || continues) {
            byControl.put(
                    control, new DirectoryVersion(update.getDirectoryIncarnation(), update.getDirectoryVersion()));
        }
    }
}
