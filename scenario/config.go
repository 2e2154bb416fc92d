package scenario

// defaultConfig is the configuration that "fleet config default" applies: the
// service shop with request kinds of three ranks. Orders are not idempotent.
const defaultConfig = `[
 {"type": "ranks", "name": "urgent", "level": 0, "share": 0},
 {"type": "ranks", "name": "normal", "level": 1, "share": 0.2},
 {"type": "ranks", "name": "low", "level": 2, "share": 0.1},
 {"type": "services", "name": "shop", "floor": 2},
 {"type": "kinds", "name": "browse", "service": "shop", "method": "GET", "path": "/browse*", "idempotent": true,
  "rank": "normal", "deadlineMs": 5000, "latencyObjectiveMs": 100, "availabilityObjective": 0.999, "answerBytes": 1024},
 {"type": "kinds", "name": "stock", "service": "shop", "method": "GET", "path": "/stock*", "idempotent": true,
  "rank": "urgent", "deadlineMs": 5000, "latencyObjectiveMs": 100, "availabilityObjective": 0.999, "answerBytes": 1024},
 {"type": "kinds", "name": "report", "service": "shop", "method": "*", "path": "/report*", "idempotent": true,
  "rank": "low", "deadlineMs": 5000, "latencyObjectiveMs": 1000, "availabilityObjective": 0.99, "answerBytes": 1024},
 {"type": "kinds", "name": "order", "service": "shop", "method": "POST", "path": "/orders*", "idempotent": false,
  "rank": "urgent", "deadlineMs": 5000, "latencyObjectiveMs": 100, "availabilityObjective": 0.999, "answerBytes": 1024},
 {"type": "routes", "name": "all", "host": "*", "pathPrefix": "/", "service": "shop"}
]
`
