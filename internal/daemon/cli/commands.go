package cli

import "github.com/integrii/flaggy"

// leaf makes a command that runs.
func leaf(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if example != "" {
		sub.AdditionalHelpAppend = "\nExample: " + example
	}
	return sub
}

func attachCommands(parser *flaggy.Parser, o *options) []command {
	serve := leaf("serve", "run a daemon", "woodworks serve -c settings.yaml --zone bern-a")
	serve.String(&o.config, "c", "config", "settings file (YAML)")
	serve.Bool(&o.checkOnly, "", "check", "only check the settings")
	serve.String(&o.over.Name, "", "name", "daemon name, over the file")
	serve.String(&o.over.Zone, "", "zone", "zone, over the file")
	serve.String(&o.over.Region, "", "region", "region, over the file")
	serve.String(&o.over.Listen.Public, "", "listen-public", "public IP:port, over the file")
	serve.String(&o.over.Listen.Internal, "", "listen-internal", "internal IP:port, over the file")
	serve.String(&o.over.Log.Level, "", "log-level", "debug, info, warn or error, over the file")
	parser.AttachSubcommand(serve, 1)

	commands := []command{{node: serve, run: runServe, isDaemon: true}}
	commands = append(commands, attachPolicy(parser, o)...)
	commands = append(commands, attachRollout(parser, o)...)
	commands = append(commands, attachQuarantine(parser, o)...)

	status := leaf("status", "show one daemon's view", "woodworks status --server http://127.0.0.1:7181")
	remoteFlags(status, o)
	parser.AttachSubcommand(status, 1)

	drain := leaf("drain", "give a back end no new work", "woodworks drain engine-3; woodworks drain engine-3 --undo")
	drain.AddPositionalValue(&o.machine, "machine", 1, true, "name in the machine list")
	drain.Bool(&o.undo, "", "undo", "take the order back")
	remoteFlags(drain, o)
	parser.AttachSubcommand(drain, 1)

	why := leaf("explain", "tell from logs what befell a request, item, batch, replica, service or window of usage, "+
		"or how a daemon was stopped", "woodworks explain 9c41d07be2a35f68 edge-1.log edge-2.log")
	why.AddPositionalValue(&o.explainID, "id", 1, true, "id as it stands in the logs")
	why.StringSlice(&o.logFiles, "l", "log", "log file, as is each further argument; without one, standard input is read")
	parser.AttachSubcommand(why, 1)

	version := leaf("version", "print the release", "")
	parser.AttachSubcommand(version, 1)
	return append(commands, command{node: status, run: runStatus}, command{node: drain, run: runDrain},
		command{node: why, run: runExplain, takesFiles: true}, command{node: version, run: runVersion})
}

func attachPolicy(parser *flaggy.Parser, o *options) []command {
	group := leaf("policy", "check, test and publish policies", "woodworks policy publish assessor.star --name assessor")
	check := leaf("check", "compile a policy and say what is wrong", "woodworks policy check assessor.star")
	test := leaf("test", "run a policy's test_* functions offline", "woodworks policy test assessor.star")
	publish := leaf("publish", "publish a policy on the log",
		"woodworks policy publish assessor.star --name assessor --replaces 12")
	history := leaf("history", "show the changes that the log still has", "woodworks policy history")
	diff := leaf("diff", "compare a file with the policy in force", "woodworks policy diff assessor.star --name assessor")
	for _, sub := range []*flaggy.Subcommand{check, test, publish, diff} {
		sub.AddPositionalValue(&o.file, "file", 1, true, "policy source (Starlark)")
	}
	for _, sub := range []*flaggy.Subcommand{publish, diff} {
		sub.String(&o.documentName, "", "name", "document name; by default the file's name without .star")
		remoteFlags(sub, o)
	}
	publish.String(&o.replaces, "", "replaces", "version of the document that this replaces; by default the one in force")
	remoteFlags(history, o)
	test.String(&o.output, "o", "output", "text or json")
	for _, sub := range []*flaggy.Subcommand{check, test, publish, history, diff} {
		group.AttachSubcommand(sub, 1)
	}
	parser.AttachSubcommand(group, 1)
	return []command{{node: check, run: runPolicyCheck}, {node: test, run: runPolicyTest},
		{node: publish, run: runPolicyPublish},
		{node: history, run: runPolicyHistory}, {node: diff, run: runPolicyDiff}}
}

func attachRollout(parser *flaggy.Parser, o *options) []command {
	group := leaf("rollout", "submit and follow batches", "woodworks rollout submit batch.json")
	submit := leaf("submit", "submit a batch from a JSON file", "woodworks rollout submit batch.json")
	submit.AddPositionalValue(&o.file, "file", 1, true, "request (JSON)")
	remoteFlags(submit, o)
	follow := leaf("follow", "print samples as they complete",
		"woodworks rollout follow assessor step-12 --training-version 7")
	follow.AddPositionalValue(&o.trainer, "trainer", 1, true, "trainer")
	follow.AddPositionalValue(&o.batch, "name", 2, true, "batch")
	follow.UInt64(&o.version, "", "training-version", "weight version that the trainer now trains")
	remoteFlags(follow, o)
	group.AttachSubcommand(submit, 1)
	group.AttachSubcommand(follow, 1)
	parser.AttachSubcommand(group, 1)
	return []command{{node: submit, run: runRolloutSubmit}, {node: follow, run: runRolloutFollow}}
}

func attachQuarantine(parser *flaggy.Parser, o *options) []command {
	group := leaf("quarantine", "see and lift what is held against requests that end their replicas",
		"woodworks quarantine list --server http://127.0.0.1:7183")
	list := leaf("list", "show the contents that are suspected or refused",
		"woodworks quarantine list --server http://127.0.0.1:7183")
	lift := leaf("lift", "let a content run again, at all daemons",
		"woodworks quarantine lift DIGEST --server http://127.0.0.1:7183")
	lift.AddPositionalValue(&o.digest, "digest", 1, true, "digest as list shows it")
	for _, sub := range []*flaggy.Subcommand{list, lift} {
		sub.String(&o.server, "s", "server", "a daemon's address for metrics")
		sub.String(&o.output, "o", "output", "text or json")
		group.AttachSubcommand(sub, 1)
	}
	parser.AttachSubcommand(group, 1)
	return []command{{node: list, run: runQuarantineList}, {node: lift, run: runQuarantineLift}}
}

func remoteFlags(sub *flaggy.Subcommand, o *options) {
	sub.String(&o.server, "s", "server", "a daemon's internal listener")
	sub.String(&o.key, "", "key", "bearer key")
	sub.String(&o.output, "o", "output", "text or json")
}
