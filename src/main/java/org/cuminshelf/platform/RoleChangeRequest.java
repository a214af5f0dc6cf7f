package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrderApplied;
import org.cuminshelf.message.Role;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** An order to an engine. */
final class RoleChangeRequest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/cuminshelf/order";
    private static final int HOLDS_ALREADY = 200;
    private static final int CARRIED_OUT = 202;

    private RoleChangeRequest() {}

    /** Writes an order of a VM; the platform calls the one who gives orders their holder. */
    static UpstreamRequest write(DirectOrder order, String vm) {
        ObjectNode body = JSON.createObjectNode()
                .put("op", "stage")
                .put("stage", order.getRole() == Role.ROLE_PREFILL ? PlatformHeaders.PREFILL : "decode")
                .put("holder", vm)
                .put("fence", order.getNumber());
        HttpFields headers = HttpFields.build()
                .put(HttpHeader.HOST, order.getAddress())
                .put(HttpHeader.CONTENT_TYPE, "application/json")
                .put(PlatformHeaders.EXPECTED_START, order.getUpstream());
        return new UpstreamRequest("POST", PATH, headers, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Takes the engine's answer. */
    static final class Answer implements UpstreamHandler {

        private final long number;
        private final Consumer<Envelope.Builder> core;
        private int status;

        Answer(long number, Consumer<Envelope.Builder> core) {
            this.number = number;
            this.core = core;
        }

        @Override
        public void onHead(int answered, HttpFields headers) {
            status = answered;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            // The status says all.
        }

        @Override
        public void onComplete() {
            boolean accepted = status == CARRIED_OUT || status == HOLDS_ALREADY;
            report(accepted, accepted ? Cause.CAUSE_NONE : Cause.ORDER_PENDING);
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            report(false, sent ? Cause.UPSTREAM_SILENT : Cause.CONNECT_FAILED);
        }

        private void report(boolean accepted, Cause cause) {
            core.accept(Envelope.newBuilder()
                    .setOrderApplied(OrderApplied.newBuilder()
                            .setNumber(number)
                            .setAccepted(accepted)
                            .setCause(cause)));
        }
    }
}
