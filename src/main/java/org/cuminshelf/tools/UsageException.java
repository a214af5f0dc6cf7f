package org.cuminshelf.tools;

/** Thrown if an argument or its environment variable is missing or invalid. */
public final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message names the argument and its value, and states which values are valid
     */
    public UsageException(String message) {
        super(message);
    }
}
