package org.cuminshelf.tools;

/** A flag or its environment variable has a value that can't be used. */
public final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message which value, and what would be one that can be used
     */
    public UsageException(String message) {
        super(message);
    }
}
