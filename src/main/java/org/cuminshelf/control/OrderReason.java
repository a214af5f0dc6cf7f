package org.cuminshelf.control;

/** Why an engine is ordered to change its role. */
enum OrderReason {
    /** The offered work is served better with another split of the engines between the roles. */
    LOAD("load"),
    /** No engine of a software version generates. */
    VERSION_WITHOUT_GENERATING_ENGINE("version-without-generating-engine");

    private final String label;

    OrderReason(String label) {
        this.label = label;
    }

    /** The reason in the log. */
    String label() {
        return label;
    }
}
