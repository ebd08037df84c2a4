package gorsemast.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A proxy that is restarted with an old list while the register is down has the list from the others. */
class LearnListTest {
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** A node that went long ago, and one that is known to drain. */
    private static final String OLD = "{\"seq\":0,\"whole\":true,\"hosts\":[{\"host\":\"c0\",\"dial\":\"127.0.0.1:9\","
            + "\"site\":\"a\",\"class\":\"m\",\"block\":0,\"health\":\"Terminating\",\"share\":1.0,\"born_ms\":0},{\"host\":\"gone\",\"dial\":\"127.0.0.1:9\","
            + "\"site\":\"a\",\"class\":\"m\",\"block\":0,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}]}";

    @TempDir
    Path folder;

    private static boolean await(BooleanSupplier holds) {
        for (long end = System.nanoTime() + PATIENCE_NANOS; System.nanoTime() < end; ) {
            if (holds.getAsBoolean()) {
                return true;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
        return holds.getAsBoolean();
    }

    private static boolean listed(Proxies.Proxy proxy) {
        return proxy.adminCall("list").startsWith("200 {");
    }

    @Test
    void theListComesFromTheOthersWhileTheRegisterIsDown() throws Exception {
        try (Relay relay = new Relay(1);
                StandIns stands = new StandIns(4);
                Proxies proxies = new Proxies(4, folder, relay, stands)) {
            for (Proxies.Proxy proxy : proxies.all) {
                proxy.start();
            }
            assertTrue(await(() -> proxies.all.stream().allMatch(LearnListTest::listed)), "the register tells nobody");
            Proxies.Proxy last = proxies.all.get(3);
            stands.discoveryDown = true;
            last.kill(false);
            last.startList = OLD;
            last.start();
            assertTrue(
                    await(() -> last.adminCall("counters").contains("cache_nodes_known:4|g")),
                    () -> "it knows " + last.adminCall("counters"));
            assertTrue(
                    last.adminCall("counters").contains("cache_nodes_excluded:1|g"),
                    "a drain is undone: " + last.adminCall("counters"));
            assertEquals("200 none\n", last.adminCall("list"), "it passes on what it has not from the register");
            assertTrue(Files.readString(last.log()).contains("list 1 learned from "));
            Clients clients = new Clients(proxies, 4, 1);
            assertTrue(await(() ->
                    clients.records.stream().anyMatch(a -> a.proxy() == 3 && a.outcome() == Clients.Outcome.SERVED)));
            clients.stop();
            for (Proxies.Proxy proxy : proxies.all) {
                assertFalse(Files.readString(proxy.log()).contains("fault: "), Files.readString(proxy.log()));
            }
        }
    }
}
