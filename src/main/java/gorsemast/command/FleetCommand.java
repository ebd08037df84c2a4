package gorsemast.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsemast.admin.AdminCall;
import gorsemast.transport.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the fleet view of one proxy. */
@Command(
        name = "fleet",
        description =
                "Prints what the proxy at a second address believes of the fleet: who lives, since " + "when and why.")
final class FleetCommand implements Callable<Integer> {
    @Option(names = "--admin", required = true, paramLabel = "HOST:PORT", description = "The proxy's second address.")
    private String admin;

    @Option(names = "--json", description = "One JSON object, as the proxy answers it.")
    private boolean json;

    @Option(names = "--watch", description = "Again each second, until interrupted.")
    private boolean watch;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        InetSocketAddress address = Address.parse(admin);
        if (address == null) {
            throw Gorsemast.usage(spec, "--admin " + admin + " is no address and port like 127.0.0.1:9100");
        }
        do {
            String answer = AdminCall.ask(address, "fleet");
            if (!answer.startsWith("200 {")) {
                System.err.println("gorsemast: " + admin + " answers: " + answer.strip()
                        + (answer.startsWith("400 unknown") ? " (its settings have no peers)" : ""));
                return Gorsemast.FAILED;
            }
            String text = answer.substring(4).strip();
            System.out.print(json ? text + "\n" : table(new ObjectMapper().readTree(text)));
            if (watch) {
                TimeUnit.SECONDS.sleep(1);
            }
        } while (watch);
        return Gorsemast.DONE;
    }

    private static String table(JsonNode view) {
        StringBuilder s = new StringBuilder(String.format(
                "%s sees %d live, settled for %.1f s%s, digest %s%n",
                view.get("self").asText(),
                view.get("live").asInt(),
                view.get("settled_ms").asLong() / 1000.0,
                view.get("sure").asBoolean() ? "" : " (not sure)",
                view.get("digest").asText()));
        s.append(String.format(
                "bounds over the fleet are divided by %d (settings: %d); local health %d%n",
                view.get("shared_by").asInt(),
                view.get("configured").asInt(),
                view.get("local_health").asInt()));
        for (JsonNode member : view.get("members")) {
            s.append(String.format(
                    "  %-16s %-8s %9.1f s  %-21s %s  %s%n",
                    member.get("name").asText(),
                    member.get("state").asText(),
                    member.get("since_ms").asLong() / 1000.0,
                    member.get("address").asText(),
                    member.get("facts"),
                    member.get("why").asText()));
        }
        return s.toString();
    }
}
