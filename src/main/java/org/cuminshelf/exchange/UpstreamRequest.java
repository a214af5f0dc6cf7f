package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request to an upstream.
 *
 * @param method  the method
 * @param target  path and query
 * @param headers headers without those of framing
 * @param body    the body
 */
public record UpstreamRequest(String method, String target, HttpFields headers, byte[] body) {

    private static final int TYPICAL_HEAD = 1024;

    /** The head as it is written, with the framing of the body. */
    ByteBuffer head() {
        StringBuilder head = new StringBuilder(TYPICAL_HEAD);
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        for (HttpField field : headers) {
            head.append(field.getName()).append(": ").append(field.getValue()).append("\r\n");
        }
        if (body.length > 0 || !"GET".equals(method) && !"DELETE".equals(method)) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }
}
