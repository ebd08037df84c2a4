package gorsemast.peers;

import anisebend.net.Part;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import gorsemast.fleet.Claim;
import gorsemast.fleet.FleetView;
import gorsemast.fleet.FleetView.MemberView;
import gorsemast.fleet.Learning;
import gorsemast.fleet.Portion;
import gorsemast.fleet.ProcessId;
import gorsemast.lifecycle.Lifecycle.Phase;
import gorsemast.observe.Counters;
import gorsemast.settings.GorsemastSettings;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.StringWriter;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The fleet's view as a part of the proxy: tells the others what this one does, answers {@code fleet} at the second
 * address, and puts the view to work: what is bounded over all proxies is shared by those that {@link Portion} counts.
 *
 * <p>All on the event loop but {@link #start}.
 */
public final class FleetPart implements Part {
    /** What it tells of itself. */
    public static final String PHASE = "phase";

    public static final String LIST = Learning.LIST;

    private final GorsemastSettings.Peers settings;
    private final String name;
    private final int configured;
    private final Portion portion;
    private Host host;
    private Peers peers;
    private ListExchange lists;
    private String told = "";
    private long toldVersion = -1;
    private boolean toldListed;

    /**
     * @param name the proxy's, as the others know it
     * @param configured how many proxies the platform's settings name
     */
    public FleetPart(GorsemastSettings.Peers settings, String name, int configured) {
        this.settings = settings;
        this.name = name;
        this.configured = configured;
        this.portion = new Portion(settings.fleet(), configured);
    }

    @Override
    public void start(Host given) throws IOException {
        host = given;
        long unixMillis = System.currentTimeMillis();
        SplittableRandom random =
                new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << 32);
        ProcessId id = new ProcessId(name, ProcessId.generation(unixMillis, random.nextLong()));
        String address =
                settings.advertise() != null ? settings.advertise() : NetUtil.toSocketAddressString(settings.listen());
        peers = new Peers(
                host.loop(),
                settings.fleet(),
                new FleetCodec(settings.cluster(), settings.secret()),
                id,
                address,
                random.nextLong(),
                host.clock(),
                host::log,
                facts());
        peers.listen(this::changed);
        lists = new ListExchange(host);
        peers.start(settings.listen(), settings.seeds());
        host.log("fleet: " + id + " takes datagrams at " + NetUtil.toSocketAddressString(peers.address()) + ", told as "
                + address);
    }

    private Map<String, String> facts() {
        return host.admin() == null || host.admin().getPort() == 0
                ? Map.of(PHASE, "starting")
                : Map.of(PHASE, "starting", Learning.ADMIN, NetUtil.toSocketAddressString(host.admin()));
    }

    private void changed() {
        if (settings.share()) {
            host.sharedBy(portion.of(host.clock().getAsLong(), peers.view()));
        }
    }

    @Override
    public void sweep(Phase phase) {
        long listVersion = host.listVersion();
        String now = phase.name().toLowerCase(Locale.ROOT);
        if (!now.equals(told) || listVersion != toldVersion || host.listed() != toldListed) {
            told = now;
            toldListed = host.listed();
            toldVersion = listVersion;
            // What the register has not told this process itself is not offered to others as news.
            peers.tell(Map.of(PHASE, now, LIST, host.listed() ? Long.toString(listVersion) : ""));
        }
        changed();
        if (settings.learn()) {
            lists.sweep(peers.view());
        }
    }

    @Override
    public String call(String line) {
        if (line.equals("list")) {
            String list = lists.answer();
            return list == null ? "none\n" : list + "\n";
        }
        return line.equals("fleet") ? json() + "\n" : null;
    }

    private String json() {
        FleetView view = peers.view();
        StringWriter text = new StringWriter();
        try (JsonGenerator to = new JsonFactory().createGenerator(text)) {
            to.writeStartObject();
            to.writeStringField("self", view.self().name());
            to.writeStringField("generation", Long.toString(view.self().generation()));
            to.writeStringField("digest", view.digestText());
            to.writeNumberField("live", view.live());
            to.writeNumberField("settled_ms", view.settledMicros() / 1_000);
            to.writeBooleanField("sure", view.sure());
            to.writeNumberField("local_health", view.localHealth());
            to.writeNumberField("configured", configured);
            to.writeNumberField("shared_by", portion.of(host.clock().getAsLong(), view));
            to.writeArrayFieldStart("members");
            for (MemberView member : view.members()) {
                to.writeStartObject();
                to.writeStringField("name", member.id().name());
                to.writeStringField("generation", Long.toString(member.id().generation()));
                to.writeStringField("address", member.address());
                to.writeStringField("state", member.state().name().toLowerCase(Locale.ROOT));
                to.writeNumberField("since_ms", member.sinceMicros() / 1_000);
                to.writeStringField("why", member.why());
                to.writeObjectFieldStart("facts");
                for (Map.Entry<String, String> fact : member.facts().entrySet()) {
                    to.writeStringField(fact.getKey(), fact.getValue());
                }
                to.writeEndObject();
                to.writeEndObject();
            }
            to.writeEndArray();
            to.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // into memory
        }
        return text.toString();
    }

    @Override
    public void figures(StringBuilder to) {
        Map<String, Long> figures = new TreeMap<>();
        peers.figures(figures);
        figures.forEach((name, value) -> Counters.counter(to, name, value));
        Map<Claim.State, Integer> states = new HashMap<>();
        FleetView view = peers.view();
        view.members().forEach(member -> states.merge(member.state(), 1, Integer::sum));
        for (Claim.State state : List.of(Claim.State.values())) {
            Counters.gauge(to, "fleet_" + state.name().toLowerCase(Locale.ROOT), states.getOrDefault(state, 0));
        }
        Counters.gauge(to, "fleet_settled_ms", view.settledMicros() / 1_000);
    }

    @Override
    public void leave() {
        peers.leave();
    }
}
