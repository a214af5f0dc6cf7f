package org.cuminshelf.tools;

/** A flag or its environment variable has a value that can't be used. */
final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
