package org.cuminshelf.exchange;

import org.eclipse.jetty.http.HttpFields;

/**
 * A request read in full.
 *
 * @param method  the method as sent
 * @param target  path and query as sent, byte for byte
 * @param headers all headers, those of the connection among them
 * @param body    the body without its framing
 */
public record ReceivedRequest(String method, String target, HttpFields headers, byte[] body) {

    /**
     * The path without its query.
     *
     * @return the path as sent
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
