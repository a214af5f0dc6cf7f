package org.cuminshelf.core;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.message.Update;

/**
 * The version of each control process's directory that a subscriber holds.
 *
 * <p>Failure it guards against: a subscriber restarts at its old address while control still counts it as subscribed,
 * and is told only what changed since the version that its predecessor held. Were that taken for the whole, it would
 * never ask for the rest and refuse every request for want of upstreams until it is restarted once more. So an update
 * that builds on a version not held here moves nothing forward, and the next subscription brings the whole directory.
 */
public final class DirectoryVersions {

    private record Held(long incarnation, long version) {}

    private static final Held NOTHING = new Held(0, 0);

    private final Map<Address, Held> held = new HashMap<>();

    private DirectoryVersions() {}

    /**
     * Begins with nothing held.
     *
     * @return the versions held
     */
    public static DirectoryVersions none() {
        return new DirectoryVersions();
    }

    /**
     * The life of a control process in which its directory was told.
     *
     * @param control the control process
     * @return its incarnation, 0 if nothing is held
     */
    public long incarnation(Address control) {
        return held.getOrDefault(control, NOTHING).incarnation;
    }

    /**
     * The version of a control process's directory.
     *
     * @param control the control process
     * @return the version, 0 if nothing is held
     */
    public long version(Address control) {
        return held.getOrDefault(control, NOTHING).version;
    }

    /**
     * Tells whether an update was overtaken by a newer one of the same life of its sender.
     *
     * @param control the sender
     * @param update  what it told
     * @return whether it is older than what is held
     */
    public boolean isStale(Address control, Update update) {
        return incarnation(control) == update.getDirectoryIncarnation()
                && update.getDirectoryVersion() < version(control);
    }

    /**
     * Notes that an update was taken in.
     *
     * @param control the sender
     * @param update  what it told
     */
    public void recordUpdate(Address control, Update update) {
        boolean sameLife = incarnation(control) == update.getDirectoryIncarnation();
        boolean continues = sameLife && update.getDirectorySince() <= version(control);
        if (update.getWholeDirectory() || continues) {
            held.put(control, new Held(update.getDirectoryIncarnation(), update.getDirectoryVersion()));
        }
    }
}
