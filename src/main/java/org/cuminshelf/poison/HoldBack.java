package org.cuminshelf.poison;

/**
 * A time for which requests with an attribute are not sent to upstreams, as the attribute may have caused crashes.
 *
 * @param attribute  the attribute
 * @param fromNanos  when it begins: once all processes have reported what was at the latest crash
 * @param untilNanos when it ends; requests with the attribute then show whether it crashes upstreams
 * @param repeated   whether upstreams crashed at several times that lie apart, so that one request at a time is enough
 *                   to show it; if they crashed at one time only, that may well have another cause
 * @param turn       when such a request may be let through after that time, as other attributes are suspected too
 */
public record HoldBack(RequestAttribute attribute, long fromNanos, long untilNanos, boolean repeated, TrialTurn turn) {}
