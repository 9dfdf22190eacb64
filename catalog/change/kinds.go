package change

// Kind implements Body.
func (*ReplaceServices) Kind() Kind { return KindReplaceServices }

// Kind implements Body.
func (*Edit) Kind() Kind { return KindEdit }

// Kind implements Body.
func (*PutTeam) Kind() Kind { return KindPutTeam }

// Kind implements Body.
func (*RemoveTeam) Kind() Kind { return KindRemoveTeam }

// Kind implements Body.
func (*Drain) Kind() Kind { return KindDrain }

// Kind implements Body.
func (*Undrain) Kind() Kind { return KindUndrain }

// Kind implements Body.
func (*SetKeyNumbers) Kind() Kind { return KindSetKeyNumbers }

// Kind implements Body.
func (*RaiseFormat) Kind() Kind { return KindRaiseFormat }

// Kind implements Body.
func (*Evacuate) Kind() Kind { return KindEvacuate }

// Kind implements Body.
func (*Return) Kind() Kind { return KindReturn }

func (*ReplaceServices) format() int { return FirstFormat }
func (*Edit) format() int            { return FirstFormat }
func (*PutTeam) format() int         { return FirstFormat }
func (*RemoveTeam) format() int      { return FirstFormat }
func (*Drain) format() int           { return FirstFormat }
func (*Undrain) format() int         { return FirstFormat }
func (*SetKeyNumbers) format() int   { return FirstFormat }
func (*RaiseFormat) format() int     { return FirstFormat }
func (*Evacuate) format() int        { return evacuationFormat }
func (*Return) format() int          { return evacuationFormat }
