package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.UsageReport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** A report of usage to the platform. */
final class UsageReportRequest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/usage";
    /** The name of the VM that does the duty. */
    private static final String HOLDER = "X-Cuminshelf-Duty-Holder";
    /** Rises with the holder; the platform calls it a token, but it is a number. */
    private static final String NUMBER = "X-Cuminshelf-Fence-Token";

    private UsageReportRequest() {}

    /** Writes a report of a VM. The same report has the same body each time, as the platform compares them. */
    static UpstreamRequest write(UsageReport report, Address platform, String vm) {
        ObjectNode body =
                JSON.createObjectNode().put("windowSeq", report.getUsage().getWindow());
        ObjectNode counts = body.putObject("counts");
        report.getUsage().getCountsList().forEach(row -> counts.put(row.getOrganisation(), row.getCount()));
        HttpFields headers = HttpFields.build()
                .put(HttpHeader.HOST, platform.value())
                .put(HttpHeader.CONTENT_TYPE, "application/json")
                .put(HOLDER, vm)
                .put(NUMBER, report.getNumber());
        return new UpstreamRequest("POST", PATH, headers, body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
