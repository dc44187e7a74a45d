/**
 * The grammar of the operator language, in the notation of ohm. docs/LANGUAGE.md explains the language.
 * Error messages name a rule by the text in parentheses after its name.
 */
export const GRAMMAR = String.raw`
Threadfork {
  Statement
    = Change ";"?  -- change
    | Query ";"?   -- query

  Query = table Where? OrderBy? Limit? Select?
  table = kw<"engines"> | kw<"models"> | kw<"daemons"> | kw<"leases"> | kw<"orders">
        | kw<"config"> | kw<"changes">
  Where = kw<"where"> Disjunction
  OrderBy = kw<"order"> kw<"by"> NonemptyListOf<OrderTerm, ",">
  OrderTerm = field direction?
  direction = kw<"asc"> | kw<"desc">
  Limit = kw<"limit"> wholeNumber
  Select = kw<"select"> NonemptyListOf<field, ",">

  Disjunction = Conjunction (kw<"or"> Conjunction)*
  Conjunction = Negation (kw<"and"> Negation)*
  Negation = kw<"not">* Primary
  Primary
    = "(" Disjunction ")"        -- group
    | field operator literal     -- comparison
  operator (a comparison: = != < <= > >= like) = "=" | "!=" | "<=" | "<" | ">=" | ">" | kw<"like">
  literal (a value: text in quotes, a number, true, false or null)
    = text | number | constant
  constant = kw<"true"> | kw<"false"> | kw<"null">

  Change = DryRun? Body IfVersion?
  Body
    = Block    -- block
    | Command  -- command
  DryRun = kw<"dry"> kw<"run">
  IfVersion = kw<"if"> kw<"version"> wholeNumber
  Block = kw<"begin"> ";"? NonemptyListOf<Command, ";"> ";"? kw<"commit">

  Command = Serve | Stop | Roll | Set | Remove | Route | Drain | Return | Ask | Release
  Serve
    = kw<"serve"> kw<"model"> name kw<"version"> name Objective?        -- model
    | kw<"serve"> kw<"adapter"> name kw<"on"> name kw<"version"> name   -- adapter
  Stop
    = kw<"stop"> kw<"serving"> kw<"model"> name                         -- model
    | kw<"stop"> kw<"serving"> kw<"adapter"> name kw<"on"> name         -- adapter
  Roll
    = kw<"roll"> kw<"model"> name kw<"to"> name                         -- model
    | kw<"roll"> kw<"adapter"> name kw<"on"> name kw<"to"> name         -- adapter
  Set = kw<"set"> (SetTenant | SetAnonymousTenant | SetClass)
  SetTenant = kw<"tenant"> name kw<"class"> name kw<"weight"> number KeyDigest*
  SetAnonymousTenant = kw<"anonymous"> kw<"tenant"> anonymous
  SetClass
    = kw<"class"> name kw<"priority"> wholeNumber kw<"share"> number
      kw<"deadline"> duration                                           -- whole
    | kw<"share"> kw<"of"> kw<"class"> name kw<"to"> number             -- share
    | kw<"priority"> kw<"of"> kw<"class"> name kw<"to"> wholeNumber     -- priority
    | kw<"deadline"> kw<"of"> kw<"class"> name kw<"to"> duration        -- deadline
  Remove
    = kw<"remove"> kw<"class"> name                                     -- class
    | kw<"remove"> kw<"tenant"> name                                    -- tenant
    | kw<"remove"> kw<"route"> prefix                                   -- route
  Route = kw<"route"> prefix kw<"to"> name kw<"repeatable">?
  Drain = kw<"drain"> name
  Return = kw<"return"> name
  Ask = kw<"ask"> kw<"role"> role kw<"for"> name
  Release = kw<"release"> kw<"role"> kw<"of"> name
  Objective = kw<"objective"> objectiveName
  objectiveName = kw<"goodput"> | kw<"fewest-changes">
  KeyDigest = kw<"key"> kw<"digest"> digest
  role = kw<"prefill"> | kw<"decode"> | kw<"mixed">
  anonymous
    = kw<"none">  -- none
    | name        -- tenant

  name (a name of lower-case letters, digits, '.', '_' and '-')
    = "\"" bareName "\""  -- quoted
    | bareName            -- bare
  bareName = ("a".."z" | "0".."9") ("a".."z" | "0".."9" | "." | "_" | "-")* wordEnd
  field (a field) = ("a".."z" | "A".."Z") ("a".."z" | "A".."Z" | "0".."9" | "_")* wordEnd
  prefix (a path that begins with '/')
    = "/" ("a".."z" | "A".."Z" | "0".."9" | "/" | "_" | "." | "-")*
  digest (a SHA-256 digest of 64 hexadecimal digits)
    = ("0".."9" | "a".."f" | "A".."F")+ wordEnd
  duration (a duration such as 500ms, 30s, 5m or 2h) = decimal unit wordEnd
  unit = "ms" | "s" | "m" | "h"
  number (a number) = "-"? decimal exponent? wordEnd
  exponent = ("e" | "E") ("+" | "-")? "0".."9"+
  wholeNumber (a whole number) = "0".."9"+ wordEnd
  decimal = "0".."9"+ ("." "0".."9"+)?
  text (text in quotes)
    = "\"" doubleQuotedCharacter* "\""  -- double
    | "'" singleQuotedCharacter* "'"    -- single
  doubleQuotedCharacter = "\\" any  -- escaped
                        | ~"\"" any -- plain
  singleQuotedCharacter = "\\" any  -- escaped
                        | ~"'" any  -- plain

  kw<word> = word wordEnd
  wordEnd (a space) = ~wordCharacter
  wordCharacter = "a".."z" | "A".."Z" | "0".."9" | "_" | "-" | "."
  space += comment
  comment = "#" (~"\n" any)*
}
`;
