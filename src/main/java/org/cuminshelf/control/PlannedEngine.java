package org.cuminshelf.control;

import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;

/**
 * An engine that serves, as the planning of roles sees it.
 *
 * @param heartbeat its last heartbeat
 * @param role      its role, or the one that it is changing to
 * @param orderable whether it may be ordered now: it has not been lately
 */
record PlannedEngine(UpstreamBeat heartbeat, Role role, boolean orderable) {

    /** Its name, which is the same across restarts. */
    String name() {
        return heartbeat.getName();
    }

    /** Whether it generates, or will once the change that is under way is complete. */
    boolean isToGenerate() {
        return role != Role.ROLE_PREFILL;
    }

    /** Whether it generates and is to go on with that. */
    boolean generates() {
        return isToGenerate() && role == heartbeat.getRole();
    }
}
