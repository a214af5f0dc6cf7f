package org.cuminshelf.storage;

import java.io.IOException;

/**
 * Thrown when a log has an invalid record before a record that was synced later. The replica may have granted votes or
 * acknowledged entries that can't be read any more, so the log must not be used.
 */
public final class CorruptLogException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the file, the position of the invalid record, and how to recover
     */
    public CorruptLogException(String message) {
        super(message);
    }
}
