package org.cuminshelf.storage;

import java.io.IOException;

/** A log has a bad record before one that was synced: what it promised can't be known, so it must not be used. */
public final class CorruptLogException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Says where the damage is.
     *
     * @param message what was found, and what to do
     */
    public CorruptLogException(String message) {
        super(message);
    }
}
