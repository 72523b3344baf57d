package devmode

import (
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"pollenlead/internal/config"
)

// demoServices are the names of the five services of the demo. Each service has a pool of the same name.
var demoServices = []string{"price-check", "order-entry", "stock-count", "ledger-close", "crew-plan"}

// demoTeam describes a team of the demo.
type demoTeam struct {
	name       string
	share      int
	upperLimit int
	weight     int
	mayUrgent  bool
}

// demoTeams are the six teams (client accounts) of the demo, two of them large.
var demoTeams = []demoTeam{
	{name: "counter", share: 4, upperLimit: 120, weight: 8, mayUrgent: true},
	{name: "warehouse", share: 4, upperLimit: 120, weight: 8},
	{name: "billing", share: 2, upperLimit: 60, weight: 3},
	{name: "field-crews", share: 2, upperLimit: 60, weight: 3, mayUrgent: true},
	{name: "reports", share: 1, upperLimit: 24, weight: 2},
	{name: "trials", share: 1, upperLimit: 12, weight: 1},
}

// demoKeys are the API keys of the demo's teams and of its operator.
type demoKeys struct {
	teams     map[string]string
	secondary string // the second key of the first team, which the demo withdraws
	operator  string
}

// generateServices returns the names of n services: those of the demo first, then numbered ones.
func generateServices(n int) []string {
	services := slices.Clone(demoServices[:min(n, len(demoServices))])
	for i := len(services); i < n; i++ {
		services = append(services, fmt.Sprintf("service-%02d", i+1))
	}
	return services
}

// generateTeams returns n teams: those of the demo first, then numbered copies of them.
func generateTeams(n int) []demoTeam {
	teams := slices.Clone(demoTeams[:min(n, len(demoTeams))])
	for i := len(teams); i < n; i++ {
		team := demoTeams[i%len(demoTeams)]
		team.name = fmt.Sprintf("team-%02d", i+1)
		teams = append(teams, team)
	}
	return teams
}

// buildDocument returns a document with a pool for each service, and new keys. The first team has a second key, which
// the demo withdraws.
func buildDocument(services []string, teams []demoTeam) (*config.Document, demoKeys, error) {
	keys := demoKeys{teams: map[string]string{}}
	doc := &config.Document{
		Schema: config.DocumentSchema,
		Limits: config.Limits{
			HeaderBytes: 16 << 10, BodyBytes: 8 << 20, JobBodyBytes: 256 << 10,
			QueueLength: 2000, QueueSeconds: 10, JobResultSeconds: 3600,
		},
		Maintenance: config.Maintenance{DrainSeconds: 10, RebootSeconds: 10, ProbeSeconds: 10, PauseAfterFailures: 2},
		Pools:       []config.Pool{{Name: "spare", Spare: true}},
	}
	for _, service := range services {
		budget := config.AvailabilityBudget{MinAvailablePercent: 80}
		if slices.Contains(wavePools, service) {
			budget.MinAvailablePercent = waveMinAvailablePercent
		}
		doc.Pools = append(doc.Pools, config.Pool{
			Name: service, Members: []string{"w-" + service + "-"}, AvailabilityBudget: budget,
		})
		doc.Services = append(doc.Services, config.Service{Name: service, Pool: service, TimeoutSeconds: 10})
	}
	for _, t := range teams {
		token, key, err := config.NewKey(t.name + "-1")
		if err != nil {
			return nil, demoKeys{}, fmt.Errorf("generate the key of team %s: %w", t.name, err)
		}
		keys.teams[t.name] = token
		doc.Teams = append(doc.Teams, config.Team{
			Name: t.name, Share: t.share, UpperLimit: t.upperLimit, MayUrgent: t.mayUrgent, Keys: []config.Key{key},
		})
	}
	token, key, err := config.NewKey(teams[0].name + "-2")
	if err != nil {
		return nil, demoKeys{}, fmt.Errorf("generate the second key of team %s: %w", teams[0].name, err)
	}
	keys.secondary = token
	doc.Teams[0].Keys = append(doc.Teams[0].Keys, key)
	token, key, err = config.NewKey("demo-operator")
	if err != nil {
		return nil, demoKeys{}, fmt.Errorf("generate the operator's key: %w", err)
	}
	keys.operator = token
	doc.Operators = []config.Operator{{Name: "demo", Role: config.RolePublish, Key: key}}
	doc.Queues = []config.Queue{{Name: "shelf-checks", Service: services[0], Open: true, Team: teams[0].name}}
	return doc, keys, nil
}

// render encodes a document as YAML.
func render(doc *config.Document) ([]byte, error) {
	text, err := yaml.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode the document: %w", err)
	}
	return text, nil
}
