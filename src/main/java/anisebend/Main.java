package anisebend;

import java.io.IOException;

/** Entry point of the jar: {@code adapter} serves the wire on standard input and output. */
public final class Main {
    private Main() {
    }

    /** Runs the named program; any other argument is a usage error. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: anisebend adapter");
            System.exit(2);
        }
        System.exit(new Adapter(System.in, System.out, System.err).run());
    }
}
